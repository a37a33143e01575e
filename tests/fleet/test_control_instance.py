"""Tests of a control instance that learns of a target that leaves.

They guard against a dispatcher that grants slots of a target which has
announced its stop, and against instances that do not learn of it.
"""

import asyncio
import itertools

import msgspec
import pytest
from returns.result import Failure, Success

from cuminhoist.fleet import region_dispatch
from cuminhoist.fleet.control_instance import ControlInstance
from cuminhoist.fleet.instance_config import DeploymentLimits
from cuminhoist.fleet.messages import (
    ControlHeartbeat,
    DecisionNotice,
    LeavingNotice,
    PlacementRequestNotice,
    TargetList,
)
from cuminhoist.fleet.target_feed import ListReading, TargetSource
from cuminhoist.steering.decisions import Granted
from cuminhoist.steering.leaving_targets import LeavingTarget
from tests.steering.builders import request, target

from .builders import SOUTH_A, add_peer, hello, instance_config

pytestmark = pytest.mark.looptime

NOTICE = LeavingNotice(targets=(LeavingTarget('a', 1),))


def _control(folder, **limits):
    """Return a control instance with the targets ``a`` and ``b``."""
    config = msgspec.structs.replace(
        instance_config(),
        data_folder=str(folder),
        first_start=True,
        limits=DeploymentLimits(**limits),
    )
    clock = asyncio.get_running_loop().time
    instance = ControlInstance(config, None, Failure, clock)
    listed = tuple(
        target(name, domain=SOUTH_A, slots=2, started_at_ms=1) for name in 'ab'
    )
    instance.feed.apply_list(TargetList(age_s=0, targets=listed))
    return instance


def _granted(control, entry, *numbers):
    """Send placement requests and return the granted targets."""
    for number in numbers:
        notice = PlacementRequestNotice(request=request(number))
        control._on_message(entry, notice)
    return [
        msg.decision.target
        for msg in entry.link.take()
        if isinstance(msg, DecisionNotice) and isinstance(msg.decision, Granted)
    ]


async def test_leaving_target_gets_no_more_grants(tmp_path):
    """Guards against grants until the list shows the target as draining."""
    control = _control(tmp_path)
    entry = add_peer(control.links, hello('e0'))
    assert sorted(_granted(control, entry, 1, 2)) == ['a', 'b']
    control._on_message(entry, NOTICE)
    assert _granted(control, entry, 3, 4) == ['b']


async def test_requests_that_wait_for_a_leaving_target_are_decided(tmp_path):
    """Guards against requests that wait for a slot of a leaving target."""
    control = _control(tmp_path, drain_s=0)
    entry = add_peer(control.links, hello('e0'))
    assert len(_granted(control, entry, 1, 2, 3, 4, 5)) == 4
    only = LeavingNotice(targets=(LeavingTarget('a', 1), LeavingTarget('b', 1)))
    control._on_message(entry, only)
    (refused,) = entry.link.take()
    assert refused.decision.number == 5


async def test_notice_of_another_control_instance_is_applied(tmp_path):
    """Guards against a dispatcher that only its own callers can inform."""
    control = _control(tmp_path)
    entry = add_peer(control.links, hello('e0'))
    other = add_peer(control.links, hello('c1', control=True))
    control._on_message(other, NOTICE)
    assert _granted(control, entry, 1, 2) == ['b', 'b']


async def test_new_control_instance_learns_notices_in_force(tmp_path):
    """Guards against a dispatcher that starts without the notices."""
    control = _control(tmp_path)
    control._on_message(add_peer(control.links, hello('e0')), NOTICE)
    joining = add_peer(control.links, hello('c1', control=True))
    control._on_peer_linked(joining)
    assert NOTICE in joining.link.take()


async def test_last_target_stops_between_two_lists(tmp_path):
    """Guards against grants of a last target while the list is not read."""
    control = _control(tmp_path, drain_s=4)
    entry = add_peer(control.links, hello('e0'))
    only = (target('a', domain=SOUTH_A, slots=9, started_at_ms=1),)
    await asyncio.sleep(1)
    control.feed.apply_list(TargetList(age_s=0, targets=only))
    control._on_message(entry, NOTICE)
    heartbeats = asyncio.create_task(control._run_heartbeats())
    await asyncio.sleep(1.8)
    assert _granted(control, entry, 1) == ['a']
    await asyncio.sleep(0.8)
    assert _granted(control, entry, 2) == []
    heartbeats.cancel()


async def test_many_notices_cause_few_assignments(tmp_path, monkeypatch):
    """Guards against a dispatcher that is busy while many targets leave."""
    control = _control(tmp_path)
    entry = add_peer(control.links, hello('e0'))
    listed = tuple(target(f't{number}', domain=SOUTH_A) for number in range(90))
    await asyncio.sleep(1)
    control.feed.apply_list(TargetList(age_s=0, targets=listed))
    assign = region_dispatch.assign_targets
    assigned = []

    def count(*args, **fields):
        assigned.append(args)
        assign(*args, **fields)

    monkeypatch.setattr(region_dispatch, 'assign_targets', count)
    for number in range(30):
        one = LeavingTarget(f't{number}')
        control._on_message(entry, LeavingNotice(targets=(one,)))
    await asyncio.sleep(0.1)
    assert len(assigned) == 2
    services = dict(control.dispatch.dispatcher.queues())
    assert len(services['catalogue'].targets) == 60


class _FailingSource(TargetSource):
    """Fails with an error that nobody has foreseen, for some reads."""

    def __init__(self, failures):
        self._failures = failures

    async def read(self):
        self._failures -= 1
        if self._failures >= 0:
            raise OverflowError('unforeseen')
        return Success(ListReading((target('new', domain=SOUTH_A),)))


async def test_reading_of_the_list_comes_back_after_an_error(
    tmp_path, monkeypatch
):
    """Guards against a list that stays as it is until the process restarts."""
    control = _control(tmp_path)
    control.feed._source = _FailingSource(3)
    monkeypatch.setattr(control.links, 'start', _nothing)
    await control.start()
    await asyncio.sleep(15)
    assert [entry.name for entry in control.feed.listed] == ['new']
    await control._background.stop()


async def test_instance_without_its_proposals_does_not_propose(
    tmp_path, monkeypatch
):
    """Guards against orders that go to an instance that proposes none."""
    control = _control(tmp_path)
    monkeypatch.setattr(control.links, 'start', _nothing)
    other = add_peer(control.links, hello('c1', control=True))
    monkeypatch.setattr(control.replica, 'reaches_quorum', lambda names: True)

    def confirmed():
        beats = [
            msg
            for msg in other.link.take()
            if isinstance(msg, ControlHeartbeat)
        ]
        return beats[-1].confirmed

    async def fail():
        raise OverflowError('unforeseen')

    monkeypatch.setattr(control.replica, 'run_proposals', fail)
    await control.start()
    await asyncio.sleep(0.5)
    assert confirmed()
    await asyncio.sleep(30)
    assert not confirmed()
    assert not control.confirmed
    await control._background.stop()


async def _nothing():
    """Start no listener."""


class _PagedSource(TargetSource):
    """Serves 990 targets on 20 pages, a page in 20 ms."""

    def __init__(self):
        self.page_times = []

    async def read(self):
        for _ in range(20):
            self.page_times.append(asyncio.get_running_loop().time())
            await asyncio.sleep(0.02)
        return Success(ListReading((target('a'),)))


async def _start_linked(names, source, folder):
    """Start instances 60 ms apart, linked to the former 30 ms later."""
    loop, ticks = asyncio.get_running_loop(), itertools.count()
    started, reads = {}, []

    def now():
        # It never stands still just before a time that is due.
        return loop.time() + next(ticks) * 1e-8

    seeds = tuple(hello(name).address for name in sorted(names)[:3])
    for name in names:
        config = msgspec.structs.replace(
            instance_config(name),
            data_folder=str(folder / name),
            first_start=True,
            seeds=seeds,
        )
        control = ControlInstance(config, source, Failure, now)
        reads.append(asyncio.create_task(control.feed.run()))
        await asyncio.sleep(0.03)
        for other_name, other in started.items():
            add_peer(control.links, hello(other_name, control=True))
            add_peer(other.links, hello(name, control=True))
        started[name] = control
        await asyncio.sleep(0.03)
    return reads


@pytest.mark.parametrize('order', [1, -1])
async def test_first_list_is_read_within_the_call_limit(tmp_path, order):
    """Guards against a first read by each instance that links are late for.

    All start within 0.3 s in any order. The list allows 44 calls a second,
    and each read of 990 targets is 20 of them.
    """
    source = _PagedSource()
    names = ['c0', 'c1', 'c2', 'c3', 'c4'][::order]
    began_at = asyncio.get_running_loop().time()
    reads = await _start_linked(names, source, tmp_path)
    await asyncio.sleep(1 - 5 * 0.06)
    for read in reads:
        read.cancel()
    first_second = [at for at in source.page_times if at < began_at + 1]
    assert len(first_second) <= 44
