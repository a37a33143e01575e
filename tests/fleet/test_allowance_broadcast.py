"""Tests of allowances in the instances of a fleet.

They guard against regions that each admit a whole allowance, and against
instances that decide by shares or limits that are no longer in force.
"""

import asyncio

import msgspec
import pytest
from loguru import logger
from returns.result import Success

from cuminhoist.fleet.allowance_broadcast import MAX_SHARES
from cuminhoist.fleet.control_instance import ControlInstance
from cuminhoist.fleet.entry_instance import EntryInstance
from cuminhoist.fleet.instance_config import Address
from cuminhoist.fleet.messages import (
    AllowanceNotice,
    AllowanceShares,
    DecisionNotice,
    PlacementRequestNotice,
    TargetList,
    View,
)
from cuminhoist.gateway.routes import RouteTable
from cuminhoist.gateway.workspaces import Workspace, WorkspaceTable
from cuminhoist.platform.requests import PlatformWire
from cuminhoist.register.declared_state import DeclaredState
from cuminhoist.steering.allowance_shares import (
    WHOLE,
    ShareRequest,
    ShareTransfer,
)
from cuminhoist.steering.decisions import Granted, RefusalReason, Refused
from cuminhoist.steering.local_allowances import RegionShares
from tests.steering.builders import request, target

from .builders import SOUTH_A, add_peer, heartbeat, hello, instance_config

pytestmark = pytest.mark.looptime

ACME = 'acme'
GIVEN = ShareTransfer(ACME, 'north', 'south', 1000, 0)


def _routes(version=1, rate_per_s=10.0, burst=20.0, count=1):
    names = [ACME, *(f'w{number}' for number in range(1, count))]
    table = WorkspaceTable.from_keys(
        (Workspace(name, rate_per_s=rate_per_s, burst=burst), ())
        for name in (*names, 'unlimited')
        if name != 'unlimited'
    )
    return RouteTable(version, {}, {}, workspaces=table)


def _state(index, body=b'{}'):
    return DeclaredState(index=index, version=index, body=body)


def _targets():
    listed = tuple(
        target(name, domain=SOUTH_A, slots=90, started_at_ms=1) for name in 'ab'
    )
    return TargetList(age_s=0, targets=listed)


class _Control:
    """A control instance of the region south, which is linked to north."""

    def __init__(self, folder, routes):
        self.routes = routes
        config = msgspec.structs.replace(
            instance_config(), data_folder=str(folder), first_start=True
        )
        clock = asyncio.get_running_loop().time
        self.instance = ControlInstance(
            config, None, lambda body: Success(self.routes), clock
        )
        # Reaches a quorum with its own vote alone.
        self.instance._on_learned(_state(1))
        self.instance.feed.apply_list(_targets())
        north = msgspec.structs.replace(
            hello('n0', control=True, domain='north-a'), region='north'
        )
        self.north = add_peer(self.instance.links, north)
        self.entry = add_peer(self.instance.links, hello('e0'))
        self.entry.subscribed = True

    @property
    def share(self):
        return self.instance.dispatch.allowances.share(ACME)

    def hear_north(self):
        """Receive a heartbeat of the region north."""
        self.instance._on_message(self.north, heartbeat('n0'))

    def send_heartbeat(self):
        """Send a heartbeat; return what north got."""
        self.instance._send_heartbeats()
        return self.north.link.take()

    def decide(self, count, first=0):
        """Send placement requests of the workspace; return the decisions."""
        for number in range(first, first + count):
            self.instance._on_message(
                self.entry,
                PlacementRequestNotice(request=request(number, workspace=ACME)),
            )
        return [
            msg.decision
            for msg in self.entry.link.take()
            if isinstance(msg, DecisionNotice)
        ]


def _shares_sent(link):
    return [
        msg.shares for msg in link.take() if isinstance(msg, AllowanceShares)
    ]


async def test_dispatcher_refuses_and_asks_for_a_share(tmp_path):
    """Guards against limits that no request meets, and against a region that
    refuses without having asked the others."""
    control = _Control(tmp_path, _routes())
    control.hear_north()
    assert control.share == pytest.approx(0.5)
    await asyncio.sleep(1)
    decisions = control.decide(60)
    refused = [one for one in decisions if isinstance(one, Refused)]
    assert refused
    assert {one.reason for one in refused} == {RefusalReason.over_allowance}
    assert any(isinstance(one, Granted) for one in decisions)
    (notice,) = [
        msg
        for msg in control.north.link.take()
        if isinstance(msg, AllowanceNotice)
    ]
    (asked,) = notice.requests
    assert (asked.workspace, asked.region) == (ACME, 'south')
    assert asked.wanted > asked.share == WHOLE // 2


async def test_share_is_zero_until_the_other_region_is_heard(tmp_path):
    """Guards against a replacement that uses what its region gave away."""
    control = _Control(tmp_path, _routes())
    assert control.share == 0
    assert not control.send_heartbeat()[-1].knows_shares
    control.hear_north()
    assert control.share == pytest.approx(0.5)
    assert control.send_heartbeat()[-1].knows_shares


async def test_transfer_is_applied_and_told_to_subscribers(tmp_path):
    """Guards against entry instances with a share that was given away."""
    control = _Control(tmp_path, _routes())
    control.hear_north()
    control.send_heartbeat()
    control.instance._on_message(
        control.north, AllowanceNotice(transfers=(GIVEN,))
    )
    assert control.share == (WHOLE // 2 + 1000) / WHOLE
    control.entry.link.take()
    control.send_heartbeat()
    assert _shares_sent(control.entry.link) == [
        RegionShares({ACME: WHOLE // 2 + 1000})
    ]
    control.send_heartbeat()
    assert _shares_sent(control.entry.link) == []


async def test_subscribers_get_all_shares_once_these_count(tmp_path):
    """Guards against entry instances that keep a share of 0, as they
    subscribed before the first limit or before the shares were known."""
    control = _Control(tmp_path, RouteTable(1, {}, {}))
    control.send_heartbeat()
    assert _shares_sent(control.entry.link) == []
    control.routes = _routes(version=2)
    control.instance._on_learned(_state(2))
    control.send_heartbeat()
    assert _shares_sent(control.entry.link) == [RegionShares({}, 0)]
    control.hear_north()
    control.send_heartbeat()
    assert _shares_sent(control.entry.link) == [RegionShares({}, WHOLE // 2)]
    control.send_heartbeat()
    assert _shares_sent(control.entry.link) == []


async def test_transfers_are_told_without_limits(tmp_path):
    """Guards against an instance that misses transfers of a workspace whose
    limit ends for a while."""
    control = _Control(tmp_path, RouteTable(1, {}, {}))
    control.instance._on_message(
        control.north, AllowanceNotice(transfers=(GIVEN,))
    )
    other = add_peer(control.instance.links, hello('c1', control=True))
    other.link.peer = other
    control.instance._on_peer_linked(other)
    assert any(isinstance(msg, AllowanceNotice) for msg in other.link.take())


async def test_request_of_another_region_is_answered(tmp_path):
    """Guards against a share that stays where nobody uses it."""
    control = _Control(tmp_path, _routes())
    control.hear_north()
    control.instance._allowance_broadcast._has_quorum = True
    asked = ShareRequest(ACME, 'north', 9, WHOLE // 2, WHOLE)
    control.instance._on_message(
        control.north, AllowanceNotice(requests=(asked,))
    )
    (notice,) = control.north.link.take()
    assert notice.transfers[0].given == WHOLE // 2
    assert control.share == 0


async def test_only_the_dispatcher_with_a_quorum_gives(tmp_path):
    """Guards against two instances of a region that give the same share."""
    control = _Control(tmp_path, _routes())
    control.hear_north()
    control.send_heartbeat()
    asked = ShareRequest(ACME, 'north', 9, WHOLE // 2, WHOLE)
    control.instance._allowance_broadcast._has_quorum = False
    control.instance._on_message(
        control.north, AllowanceNotice(requests=(asked,))
    )
    assert control.north.link.take() == []
    assert control.share == pytest.approx(0.5)


async def test_new_links_get_all_that_is_known(tmp_path):
    """Guards against instances that miss the transfers before their start."""
    control = _Control(tmp_path, _routes())
    control.hear_north()
    control.instance._on_message(
        control.north, AllowanceNotice(transfers=(GIVEN,))
    )
    other = add_peer(control.instance.links, hello('c1', control=True))
    other.link.peer = other
    control.instance._on_peer_linked(other)
    notices = [
        msg for msg in other.link.take() if isinstance(msg, AllowanceNotice)
    ]
    assert [one.transfers[0].given for one in notices] == [1000]
    subscriber = add_peer(control.instance.links, hello('e1'))
    subscriber.link.peer = subscriber
    control.instance._send_notices(subscriber.link)
    assert _shares_sent(subscriber.link) == [
        RegionShares({ACME: WHOLE // 2 + 1000}, WHOLE // 2)
    ]


async def test_shares_of_many_workspaces_are_bounded(tmp_path):
    """Guards against messages that fill the link of an entry instance."""
    control = _Control(tmp_path, _routes(count=MAX_SHARES + 50))
    control.hear_north()
    transfers = tuple(
        ShareTransfer(f'w{number}', 'north', 'south', number, 0)
        for number in range(1, MAX_SHARES + 20)
    )
    control.instance._on_message(
        control.north, AllowanceNotice(transfers=transfers)
    )
    shares = control.instance._allowance_broadcast._shares('south')
    assert len(shares.parts) == MAX_SHARES
    # Workspaces that are not listed must not count with an equal share.
    assert shares.others == 0
    assert len(msgspec.msgpack.encode(shares)) < 20_000


async def test_entry_instances_that_are_not_linked_keep_their_part(tmp_path):
    """Guards against a dispatcher that spends what a cut instance spends."""
    control = _Control(tmp_path, _routes())
    control.hear_north()
    others = [
        add_peer(control.instance.links, hello(f'e{number}'))
        for number in (1, 2, 3)
    ]
    control.send_heartbeat()
    bucket = control.instance.dispatch.dispatcher.allowances.find(ACME)
    full = bucket.size.rate_per_s
    for peer in others[:2]:
        control.instance.links.peers.pop(peer.hello.name)
    control.instance.links.fleet.invalidate()
    control.send_heartbeat()
    assert bucket.size.rate_per_s < 0.55 * full


async def test_replacement_tells_entry_instances_at_once(tmp_path):
    """Guards against entry instances that refuse requests by their parts
    until the next view."""
    control = _Control(tmp_path, _routes())
    former = add_peer(control.instance.links, hello('b0', control=True))
    control.entry.link.take()
    control.instance.links.peers.pop('b0')
    control.instance._on_peer_lost(former)
    (view,) = control.entry.link.take()
    assert view.dispatcher == 'c0'
    control.instance._on_peer_lost(control.north)
    assert control.entry.link.take() == []


async def test_dispatcher_that_may_be_replaced_stops_to_use_the_share(tmp_path):
    """Guards against two halves of a region that both spend its share."""
    control = _Control(tmp_path, _routes())
    control.hear_north()
    links = control.instance.links
    add_peer(links, hello('c1', control=True))
    control.send_heartbeat()
    bucket = control.instance.dispatch.dispatcher.allowances.find(ACME)
    full = bucket.size.rate_per_s
    links.peers.pop('c1')
    control.instance.replica.reaches_quorum = lambda voters: False
    for _ in range(3):
        control.send_heartbeat()
        assert bucket.size.rate_per_s == full
        await asyncio.sleep(2)
    control.send_heartbeat()
    assert bucket.size.rate_per_s < 0.05 * full
    add_peer(links, hello('c1', control=True))
    control.send_heartbeat()
    assert bucket.size.rate_per_s == full


async def test_lower_limit_is_in_force_when_it_is_learned(tmp_path):
    """Guards against a limit that applies only from the next heartbeat on."""
    control = _Control(tmp_path, _routes())
    control.hear_north()
    control.routes = _routes(version=2, rate_per_s=1.0, burst=0.0)
    control.instance._on_learned(_state(2))
    bucket = control.instance.dispatch.dispatcher.allowances.find(ACME)
    assert bucket.size.rate_per_s < 1
    control.routes = RouteTable(3, {}, {})
    control.instance._on_learned(_state(3))
    assert control.instance.dispatch.dispatcher.allowances.find(ACME) is None


async def test_limited_workspace_is_logged_and_counted(tmp_path):
    """Guards against refusals whose reason operators cannot see."""
    control = _Control(tmp_path, _routes(version=7))
    control.hear_north()
    events = []
    sink = logger.add(
        lambda text: events.append(
            (text.record['message'], text.record['extra'].get('version'))
        ),
    )
    try:
        control.decide(60)
        control.send_heartbeat()
        control.decide(60, first=100)
        control.send_heartbeat()
        await asyncio.sleep(3)
        control.send_heartbeat()
    finally:
        logger.remove(sink)
    assert [one for one in events if one[0].startswith('workspace')] == [
        ('workspace limited', 7),
        ('workspace no longer limited', 7),
    ]
    rendered = control.instance.metrics.render().decode()
    assert 'requests_total{outcome="refused",workspace="acme"}' in rendered
    assert 'allowance_share_ratio{workspace="acme"} 0.5' in rendered


def _entry_instance(routes):
    config = msgspec.structs.replace(
        instance_config('e0'),
        operator_address=None,
        request_address=Address('e0', 80),
    )
    clock = asyncio.get_running_loop().time
    entry = EntryInstance(
        config, None, lambda body: Success(routes), PlatformWire(), clock
    )
    entry.feed.apply_list(_targets())
    entry._on_declared_state(_state(1))
    return entry


async def _place(entry, count):
    client = entry.placement_client
    decided = [
        await client.request_placement(request(number, workspace=ACME))
        for number in range(count)
    ]
    return sum(isinstance(decision, Granted) for decision, _ in decided)


def _view():
    return View(
        index=1, confirmed=True, dispatcher='', entries=2, region_entries=2
    )


async def test_requests_count_from_0_after_a_limit_ended(tmp_path):
    """Guards against counters that miss requests of a limit that returned."""
    control = _Control(tmp_path, _routes())
    control.hear_north()
    await asyncio.sleep(1)
    control.decide(60)
    control.send_heartbeat()
    former = _refused(control)
    assert former > 40
    for version, routes in ((2, RouteTable(2, {}, {})), (3, _routes(3))):
        control.routes = routes
        control.instance._on_learned(_state(version))
        control.send_heartbeat()
    control.decide(30, first=100)
    control.send_heartbeat()
    assert _refused(control) - former > 15


def _refused(control):
    return control.instance.metrics.registry.get_sample_value(
        'cuminhoist_allowance_requests_total',
        {'workspace': ACME, 'outcome': 'refused'},
    )


async def test_entry_instance_without_dispatcher_uses_its_part():
    """Guards against entry instances that each admit the region's share."""
    entry = _entry_instance(_routes(rate_per_s=100.0, burst=200.0))
    entry._on_message(
        AllowanceShares(shares=RegionShares({ACME: WHOLE}, WHOLE // 2))
    )
    for _ in range(50):
        await asyncio.sleep(0.1)
        entry._allowances.keep(_view(), asyncio.get_running_loop().time())
    admitted = await _place(entry, 150)
    # Half of the region's burst, and some of the tolerated excess.
    assert 100 <= admitted <= 105


async def test_entry_instance_that_is_cut_off_keeps_a_small_rate():
    """Guards against a cut instance that spends what others use again."""
    entry = _entry_instance(_routes(rate_per_s=100.0, burst=200.0))
    entry._on_message(
        AllowanceShares(shares=RegionShares({ACME: WHOLE}, WHOLE // 2))
    )
    for _ in range(100):
        entry._allowances.keep(None, asyncio.get_running_loop().time())
        await asyncio.sleep(0.1)
    entry._allowances.keep(None, asyncio.get_running_loop().time())
    assert await _place(entry, 150) < 10
