"""Tests of grants between failure domains."""

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
HOME = 'entry-gogledd-a-1'
SERVICE = 'catalogue'
ASKERS = [
    entry.name
    for entry in TOPOLOGY.entry_instances()
    if entry.domain != TOPOLOGY.instance(HOME).domain
]


class FakeSlots(SlotSource):
    """Slots of which a test sets the number that is free."""

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
    """Hands requests to another transport, or loses the answer."""

    def __init__(self, sender):
        super().__init__()
        self.sender, self.other, self.lose, self.asks = sender, self, False, 0

    async def call(self, peer, msg, timeout_s):
        self.asks += 1
        if peer != HOME:
            return Failure(TransportError(peer, 'timeout'))
        reply = await self.other.handle(ReceivedMessage(self.sender, msg))
        if self.lose:
            return Failure(TransportError(peer, 'timeout'))
        return Success(reply)


def _table(clock=None):
    clock = clock or ManualClock()
    cfg = ConfigInForce()
    transport = LoopTransport(HOME)
    slots = FakeSlots()
    membership = Membership(TOPOLOGY, HOME, clock, cfg)
    table = GrantTable(TOPOLOGY, membership, slots, cfg, clock, transport)
    return table, slots, clock, transport


def test_grants_grow_by_a_step_and_shrink_at_once():
    """Guards against a shift that grows faster than its cap."""
    table, slots, clock, _ = _table()
    slots.free = 100
    seen = []
    for _ in range(3):
        seen.append([table.issue(ASKERS[0], SERVICE, 50) for _ in range(3)][-1])
        for _ in range(10):
            clock.advance(1)
            table.issue(ASKERS[0], SERVICE, 50)
    assert seen[0] >= 1
    assert seen == [seen[0], 2 * seen[0], 3 * seen[0]]
    slots.free = 1
    assert table.issue(ASKERS[0], SERVICE, 50) == 1
    slots.free = 0
    assert table.issue(ASKERS[0], SERVICE, 50) == 0


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(['ask', 'arrive', 'end', 'time', 'own']),
        strategies.integers(0, len(ASKERS) - 1),
        strategies.integers(0, 6),
    ),
    max_size=80,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(steps=STEPS, capacity=strategies.integers(0, 20))
def test_sum_of_grants_is_within_unused_slots(steps, capacity):
    """Guards against granting the same slot twice."""
    table, slots, clock, _ = _table()
    own, running, levels = 0, [], {}
    for action, number, amount in steps:
        slots.free = capacity - own - len(running)
        asker = ASKERS[number]
        if action == 'ask':
            before = table.granted_count(SERVICE)
            count = table.issue(asker, SERVICE, amount)
            total = table.granted_count(SERVICE)
            assert total <= max(capacity - own, before)
            assert count == 0 or total <= capacity - own
            window = int(clock.now() / 10)
            region = TOPOLOGY.region_of(TOPOLOGY.instance(asker).domain)
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
            arrival = table.try_admit(asker, SERVICE)
            if arrival is not None:
                running.append(arrival)
        elif action == 'end' and running:
            running.pop().release()
        elif action == 'time':
            clock.advance(amount)
        elif action == 'own':
            own = min(amount, capacity - len(running))
        assert own + len(running) <= capacity


def test_expired_grants_admit_nothing():
    """Guards against work that arrives long after its grant ended."""
    table, slots, clock, _ = _table()
    slots.free = 5
    table.issue(ASKERS[0], SERVICE, 1)
    clock.advance(GRANT_VALID_S + ARRIVAL_GRACE_S)
    assert table.try_admit(ASKERS[0], SERVICE) is None
    assert table.try_admit(ASKERS[1], SERVICE) is None


async def test_client_uses_no_more_than_it_was_granted():
    """Guards against uses beyond the count or after the expiry."""
    table, slots, _, served = _table()
    slots.free = 5
    clock, transport = ManualClock(5), LoopTransport(ASKERS[0])
    transport.other = served
    client = GrantClient({'far': (HOME,)}, clock, transport)
    assert client.try_acquire('far', SERVICE) is None
    assert await client.request_next()
    use = client.try_acquire('far', SERVICE)
    granted = table.granted_count(SERVICE)
    more = [client.try_acquire('far', SERVICE) for _ in range(20)]
    assert 1 + sum(each is not None for each in more) == granted
    use.release()
    use.release()
    again = client.try_acquire('far', SERVICE)
    assert client.try_acquire('far', SERVICE) is None
    again.release()
    clock.advance(GRANT_VALID_S * 0.995)
    assert client.try_acquire('far', SERVICE) is None


async def test_asks_are_bounded_and_a_dead_partner_starves_none():
    """Guards against control traffic that grows with demand or faults."""
    table, slots, _, served = _table()
    slots.free = 5
    clock, transport = ManualClock(5), LoopTransport(ASKERS[0])
    transport.other = served
    client = GrantClient({'far': ('dead', HOME)}, clock, transport)
    for _ in range(40):
        for _ in range(50):
            use = client.try_acquire('far', SERVICE)
            if use is not None:
                use.release()
        await client.request_next()
        clock.advance(0.25)
    assert transport.asks <= 40
    assert client.try_acquire('far', SERVICE) is not None
    clock.advance(3)
    before = transport.asks
    assert not await client.request_next()
    assert transport.asks == before
    await asyncio.sleep(0)


def test_partners_are_few_and_in_other_domains():
    """Guards against asking every instance of a large deployment."""
    for entry in TOPOLOGY.entry_instances():
        partners = cross_domain_partners(TOPOLOGY, entry.name)
        assert 0 < len(partners) <= MAX_PARTNERS
        assert all(each.domain != entry.domain for each in partners)
