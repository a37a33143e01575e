"""Tests of what an entry instance does with news of targets and settings.

Those of leaving targets guard against requests that reach a target from an
instance which has passed on its announcement, whether control instances can be
reached or not.
"""

import asyncio
import json

import msgspec
import pytest

from cuminhoist.fleet import entry_instance
from cuminhoist.fleet.entry_instance import EntryInstance
from cuminhoist.fleet.instance_config import Address, DeploymentLimits
from cuminhoist.fleet.messages import LeavingNotice, TargetList, View
from cuminhoist.fleet.target_feed import STALE_LIST_S
from cuminhoist.listener_limits import ListenerLimits
from cuminhoist.platform.configuration import decode_routes
from cuminhoist.platform.requests import PlatformWire
from cuminhoist.register.declared_state import DeclaredState
from cuminhoist.steering.decisions import Granted
from cuminhoist.steering.leaving_targets import LeavingTarget
from tests.steering.builders import request, target

from .builders import SOUTH_A, RecordingLink, hello, instance_config

pytestmark = pytest.mark.looptime

ANNOUNCED = LeavingTarget('a', 1)
LISTED = tuple(
    target(name, domain=SOUTH_A, slots=2, started_at_ms=1) for name in 'ab'
)


def _entry_instance(**limits):
    """Return an entry instance with two targets and no link.

    :param limits: limits of the deployment that differ from the defaults.
    """
    config = msgspec.structs.replace(
        instance_config('e0'),
        operator_address=None,
        request_address=Address('e0', 80),
        limits=DeploymentLimits(drain_s=4, **limits),
    )
    clock = asyncio.get_running_loop().time
    entry = EntryInstance(config, None, None, PlatformWire(), clock)
    entry.feed.apply_list(TargetList(age_s=0, targets=LISTED))
    return entry


def _usable(entry):
    return sorted(entry.request_proxy.routing_state.targets)


async def test_announcement_takes_the_target_out_without_any_link():
    """Guards against a cut instance that goes on sending requests."""
    entry = _entry_instance()
    assert _usable(entry) == ['a', 'b']
    entry.request_proxy.on_target_leaving(ANNOUNCED, 'id1')
    assert _usable(entry) == ['b']
    client = entry.placement_client
    for number in range(2):
        decision, _ = await client.request_placement(request(number))
        assert isinstance(decision, Granted)
        assert decision.target == 'b'


async def test_newer_list_that_lags_behind_changes_nothing():
    """Guards against requests after the next list of a cut instance."""
    entry = _entry_instance()
    entry.request_proxy.on_target_leaving(ANNOUNCED, 'id1')
    await asyncio.sleep(1)
    entry.feed.apply_list(TargetList(age_s=0, targets=LISTED))
    assert _usable(entry) == ['b']


async def test_new_dispatcher_gets_what_answers_announced():
    """Guards against a change of dispatcher that loses the announcement."""
    entry = _entry_instance()
    entry.request_proxy.on_target_leaving(ANNOUNCED, 'id1')
    assert entry.links.leaving_notice().targets == (ANNOUNCED,)


async def test_announcement_is_reported_and_logged_once(monkeypatch):
    """Guards against a message and a log line for each answer."""
    entry = _entry_instance()
    reported, lines = [], []
    monkeypatch.setattr(entry.links, 'report_leaving', reported.append)
    monkeypatch.setattr(
        entry_instance._log, 'bind', lambda **fields: _Line(lines, fields)
    )
    for request_id in ('id1', 'id2'):
        entry.request_proxy.on_target_leaving(ANNOUNCED, request_id)
    notice = LeavingNotice(targets=(ANNOUNCED,))
    assert reported == [notice]
    assert [(line['id'], line['targets']) for line in lines] == [('id1', ['a'])]
    registry = entry.metrics.registry
    name = 'cuminhoist_leaving_notices_total'
    assert registry.get_sample_value(name, {'source': 'answer'}) == 1


class _Line:
    def __init__(self, lines, fields):
        self._lines = lines
        self._fields = fields

    def info(self, _event):
        self._lines.append(self._fields)


async def test_notice_of_the_fleet_takes_the_target_out():
    """Guards against each instance having to learn from its own request."""
    entry = _entry_instance()
    entry._on_message(LeavingNotice(targets=(ANNOUNCED,)))
    assert _usable(entry) == ['b']
    name = 'cuminhoist_leaving_notices_total'
    registry = entry.metrics.registry
    assert registry.get_sample_value(name, {'source': 'control'}) == 1


async def test_start_is_unknown_without_a_recent_list():
    """Guards against ending a notice of a target that restarted unseen."""
    entry = _entry_instance()
    await asyncio.sleep(STALE_LIST_S + 1)
    entry.request_proxy.on_target_leaving(ANNOUNCED, 'id1')
    assert entry.feed.leaving_notice().targets == (LeavingTarget('a', 0),)


async def test_last_target_stops_between_two_lists():
    """Guards against requests to a last target while no list arrives."""
    entry = _entry_instance()
    await asyncio.sleep(1)
    entry.feed.apply_list(TargetList(age_s=0, targets=LISTED[:1]))
    entry.request_proxy.on_target_leaving(ANNOUNCED, 'id1')
    checks = asyncio.create_task(entry._run_checks())
    await asyncio.sleep(1.8)
    assert _usable(entry) == ['a']
    await asyncio.sleep(0.4)
    assert _usable(entry) == []
    checks.cancel()


async def test_many_announcements_cause_few_assignments(monkeypatch):
    """Guards against work for each of hundreds of targets that leave at once.

    A single assignment of 500 targets takes more than a millisecond.
    """
    entry = _entry_instance()
    listed = tuple(target(f't{number}', domain=SOUTH_A) for number in range(90))
    await asyncio.sleep(1)
    entry.feed.apply_list(TargetList(age_s=0, targets=listed))
    assign = entry_instance.assign_targets
    assigned = []

    def count(*args, **fields):
        assigned.append(args)
        assign(*args, **fields)

    monkeypatch.setattr(entry_instance, 'assign_targets', count)
    for number in range(30):
        announced = LeavingTarget(f't{number}')
        entry.request_proxy.on_target_leaving(announced, 'id1')
    await asyncio.sleep(0.1)
    assert len(_usable(entry)) == 60
    assert len(assigned) == 2


def _state(index: int, max_header_bytes: int) -> DeclaredState:
    body = {
        'version': f'r{index}',
        'services': [],
        'hosts': [],
        'limits': {'max_header_bytes': max_header_bytes},
    }
    return DeclaredState(
        index=index, version=index, body=json.dumps(body).encode()
    )


async def test_limits_of_each_new_configuration_reach_the_listener():
    """Guards against a listener that keeps the limits of its start."""
    entry = _entry_instance()
    entry._decode = decode_routes
    applied = []
    entry.request_proxy.routing_state.apply_limits = applied.append
    for index, max_header_bytes in ((1, 1000), (2, 2000)):
        entry._on_declared_state(_state(index, max_header_bytes))
    assert applied == [ListenerLimits(1000), ListenerLimits(2000)]


def _view(index):
    return View(
        index=index, confirmed=True, dispatcher='', entries=1, region_entries=1
    )


def _linked(entry):
    """Link an entry instance to a control instance and return the link."""
    link = RecordingLink()
    entry.links.on_message = entry._on_message
    entry.links.progress = entry._progress
    entry.links.message_received(link, hello('c1', control=True))
    return link


@pytest.mark.parametrize('refuses', [True, False])
async def test_keys_are_trusted_as_long_as_the_settings_say(refuses):
    """Guards against a removed key that a cut instance serves without end.

    Without the setting, such an instance serves on.
    """
    entry = _entry_instance(refuses_unconfirmed_keys=refuses, key_trust_s=3)
    routing = entry.request_proxy.routing_state
    assert routing.trusts_keys() is not refuses
    link = _linked(entry)
    entry.links.message_received(link, _view(-1))
    await asyncio.sleep(2.9)
    assert routing.trusts_keys()
    await asyncio.sleep(0.2)
    assert routing.trusts_keys() is not refuses
    entry.links.message_received(link, _view(-1))
    assert routing.trusts_keys()


async def test_view_of_a_newer_state_counts_at_once():
    """Guards against a final refusal in the time between two checks."""
    entry = _entry_instance()
    link = _linked(entry)
    routing = entry.request_proxy.routing_state
    entry.links.message_received(link, _view(-1))
    assert routing.routes_confirmed
    entry.links.message_received(link, _view(0))
    assert not routing.routes_confirmed


async def test_configuration_is_not_kept_as_it_was_sent():
    """Guards against keys that stay in the memory of the instance."""
    entry = _entry_instance()
    entry._decode = decode_routes
    entry._on_declared_state(_state(1, 1000))
    assert entry.request_proxy.routing_state.routes.version == 1
    assert entry._declared.version == 1
    assert not entry._declared.body


async def test_instance_that_has_lost_a_task_is_not_ready(monkeypatch):
    """Guards against callers at an instance that does not follow the fleet."""
    entry = _entry_instance()
    entry._decode = decode_routes
    entry._on_declared_state(_state(1, 4096))
    assert entry.ready

    async def fail():
        raise OverflowError('unforeseen')

    async def idle():
        await asyncio.Event().wait()

    monkeypatch.setattr(entry.links, 'run', fail)
    monkeypatch.setattr(entry.feed, 'run', idle)
    await entry.start()
    await asyncio.sleep(1)
    assert entry.ready
    await asyncio.sleep(30)
    assert not entry.ready
    assert not entry.links.ready
    await entry.stop()


async def test_configuration_of_version_zero_is_put_in_force():
    """Guards against an instance that takes version 0 for none (CONFIG)."""
    entry = _entry_instance()
    entry._decode = decode_routes
    routing = entry.request_proxy.routing_state
    entry._on_declared_state(DeclaredState(drained=frozenset('a')))
    assert routing.routes is None
    first = msgspec.structs.replace(_state(0, 1000), index=1)
    entry._on_declared_state(first)
    routes = routing.routes
    assert routes.version == 0
    # A change of something else does not decode it again.
    entry._on_declared_state(msgspec.structs.replace(first, index=2))
    assert routing.routes is routes
    entry._on_declared_state(msgspec.structs.replace(_state(1, 1000), index=3))
    assert routing.routes.version == 1
