"""Tests of grants between failure domains.

They guard against two domains that use the same slot, a shift that grows
faster than its cap, and control traffic that grows with demand.
"""

import asyncio

from hypothesis import given, settings, strategies
from returns.result import Failure, Success

from cuminhoist.clock import ManualClock
from cuminhoist.codec import ReceivedMessage
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.exceptions import TransportError
from cuminhoist.grant_client import GrantClient
from cuminhoist.grants import ARRIVAL_GRACE_S, GRANT_VALID_S, GrantTable
from cuminhoist.membership import (
    MAX_PARTNERS,
    Membership,
    cross_domain_partners,
)
from cuminhoist.slots import SlotSource
from cuminhoist.transport import Transport

from . import builders

TOPOLOGY = builders.example_topology()
RECEIVER = 'entry-gogledd-a-1'
SERVICE = 'catalogue'
REQUESTERS = [
    entry.name
    for entry in TOPOLOGY.entry_instances()
    if entry.domain != TOPOLOGY.instance(RECEIVER).domain
]


class FakeSlots(SlotSource):
    """Slots whose free number is set by the test."""

    free = 0

    def try_acquire(self, service, deadline_at, exclude=frozenset()):
        return None

    def usable_slots(self, service):
        return self.free

    def free_slots(self, service):
        return self.free

    def on_free(self, listener):
        pass


class LoopTransport(Transport):
    """Delivers calls to another transport, or loses the reply."""

    def __init__(self, sender):
        super().__init__()
        self.sender, self.receiver, self.lose_replies, self.call_count = (
            sender,
            self,
            False,
            0,
        )

    async def call(self, peer, msg, timeout_s):
        self.call_count += 1
        if peer != RECEIVER:
            return Failure(TransportError(peer, 'timeout'))
        reply = await self.receiver.handle(ReceivedMessage(self.sender, msg))
        if self.lose_replies:
            return Failure(TransportError(peer, 'timeout'))
        return Success(reply)


def _table(clock=None):
    clock = clock or ManualClock()
    cfg = ConfigInForce()
    transport = LoopTransport(RECEIVER)
    slots = FakeSlots()
    membership = Membership(TOPOLOGY, RECEIVER, clock, cfg)
    table = GrantTable(TOPOLOGY, membership, slots, cfg, clock, transport)
    return table, slots, clock, transport


def test_grants_grow_by_the_cap_per_window_and_shrink_at_once():
    """Guards against a shift that grows faster than its cap."""
    table, slots, clock, _ = _table()
    slots.free = 100
    counts = []
    for _ in range(3):
        counts.append(
            [table.issue(REQUESTERS[0], SERVICE, 50) for _ in range(3)][-1]
        )
        for _ in range(10):
            clock.advance(1)
            table.issue(REQUESTERS[0], SERVICE, 50)
    assert counts[0] >= 1
    assert counts == [counts[0], 2 * counts[0], 3 * counts[0]]
    slots.free = 1
    assert table.issue(REQUESTERS[0], SERVICE, 50) == 1
    slots.free = 0
    assert table.issue(REQUESTERS[0], SERVICE, 50) == 0


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['ask', 'arrive', 'end', 'time', 'own']),
        strategies.integers(0, len(REQUESTERS) - 1),
        strategies.integers(0, 6),
    ),
    max_size=80,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(steps=STEPS, capacity=strategies.integers(0, 20))
def test_sum_of_grants_stays_within_unused_slots(steps, capacity):
    """Guards against slots that are granted twice."""
    table, slots, clock, _ = _table()
    own, running, levels = 0, [], {}
    for action, number, amount in steps:
        slots.free = capacity - own - len(running)
        requester = REQUESTERS[number]
        if action == 'ask':
            before = table.granted_count(SERVICE)
            count = table.issue(requester, SERVICE, amount)
            total = table.granted_count(SERVICE)
            assert total <= max(capacity - own, before)
            assert count == 0 or total <= capacity - own
            window = int(clock.now() / 10)
            region = TOPOLOGY.region_of(TOPOLOGY.instance(requester).domain)
            levels.setdefault((region, window), []).append(
                sum(
                    entry.count
                    for entry in table._issued[SERVICE].values()
                    if entry.region == region
                    and entry.valid_until > clock.now()
                ),
            )
            last = max(levels.get((region, window - 1), [0]))
            limit = last + table._max_growth(SERVICE)
            assert count == 0 or levels[(region, window)][-1] <= limit
        elif action == 'arrive':
            granted_request = table.try_admit(requester, SERVICE)
            if granted_request is not None:
                running.append(granted_request)
        elif action == 'end' and running:
            running.pop().release()
        elif action == 'time':
            clock.advance(amount)
        elif action == 'own':
            own = min(amount, capacity - len(running))
        assert own + len(running) <= capacity


def test_expired_grants_admit_nothing():
    """Guards against requests that arrive long after their grant ended."""
    table, slots, clock, _ = _table()
    slots.free = 5
    table.issue(REQUESTERS[0], SERVICE, 1)
    clock.advance(GRANT_VALID_S + ARRIVAL_GRACE_S)
    assert table.try_admit(REQUESTERS[0], SERVICE) is None
    assert table.try_admit(REQUESTERS[1], SERVICE) is None


async def test_client_uses_no_more_than_it_was_granted():
    """Guards against use of a grant beyond its count or its end."""
    table, slots, _, receiver = _table()
    slots.free = 5
    clock, transport = ManualClock(5), LoopTransport(REQUESTERS[0])
    transport.receiver = receiver
    client = GrantClient({'far': (RECEIVER,)}, clock, transport)
    assert client.try_acquire('far', SERVICE) is None
    assert await client.request_next()
    permit = client.try_acquire('far', SERVICE)
    granted = table.granted_count(SERVICE)
    more = [client.try_acquire('far', SERVICE) for _ in range(20)]
    assert 1 + sum(extra is not None for extra in more) == granted
    permit.release()
    permit.release()
    permit_again = client.try_acquire('far', SERVICE)
    assert client.try_acquire('far', SERVICE) is None
    permit_again.release()
    clock.advance(GRANT_VALID_S * 0.995)
    assert client.try_acquire('far', SERVICE) is None


async def test_calls_are_bounded_and_a_silent_partner_blocks_no_other():
    """Guards against control traffic that grows with demand or faults."""
    table, slots, _, receiver = _table()
    slots.free = 5
    clock, transport = ManualClock(5), LoopTransport(REQUESTERS[0])
    transport.receiver = receiver
    client = GrantClient({'far': ('silent', RECEIVER)}, clock, transport)
    for _ in range(40):
        for _ in range(50):
            permit = client.try_acquire('far', SERVICE)
            if permit is not None:
                permit.release()
        await client.request_next()
        clock.advance(0.25)
    assert transport.call_count <= 40
    assert client.try_acquire('far', SERVICE) is not None
    clock.advance(3)
    before = transport.call_count
    assert not await client.request_next()
    assert transport.call_count == before
    await asyncio.sleep(0)


def test_partners_are_few_and_in_other_domains():
    """Guards against calling every instance of a large deployment."""
    for entry in TOPOLOGY.entry_instances():
        partners = cross_domain_partners(TOPOLOGY, entry.name)
        assert 0 < len(partners) <= MAX_PARTNERS
        assert all(partner.domain != entry.domain for partner in partners)
