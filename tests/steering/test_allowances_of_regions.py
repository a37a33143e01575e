"""Tests of the allowance of a workspace over three regions.

Two bounds: no window with more requests than tolerated, whatever fails, and
no refusal of a workspace within its limit, wherever its callers are.
"""

import functools
import random

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from cuminhoist.steering.allowance_shares import (
    WHOLE,
    ShareLedger,
    ShareTransfer,
)
from cuminhoist.steering.allowance_sizes import Allowance
from tests.steering.allowance_world import (
    ACME,
    BOUNDS,
    REGIONS,
    SIZES,
    World,
    arrivals,
    conforming,
)

#: Rates and bursts of small, usual and large workspaces.
LIMITS = ((2, 0), (3, 3), (20, 20), (100, 20), (100, 100), (300, 100))
#: Buckets are full by then, in seconds.
FILLED_S = 15
END_S = 45
#: The worst burst of a deployment, as a multiple of the usual rate.
BURST_FACTOR = 8.5


def _uneven(seed=5):
    rng = random.Random(seed)
    return lambda when: rng.choices(REGIONS, (7, 2, 1))[0]


def _within_limit(rate_per_s, burst):
    times = arrivals(0.9 * rate_per_s, FILLED_S, END_S)
    return conforming(times, 0.95 * rate_per_s, 0.5 * burst)


def _moving(seconds):
    rng = random.Random(6)
    return lambda when: (
        'north' if rng.random() * seconds >= when - 30 else 'south'
    )


@pytest.mark.parametrize(('rate', 'burst'), LIMITS)
@pytest.mark.parametrize(
    'choose',
    [_uneven(), lambda when: 'north', _moving(2)],
    ids=['uneven', 'one region', 'moving within 2 s'],
)
def test_workspace_within_its_limit_is_not_refused(rate, burst, choose):
    """Guards against refusals by a share that is smaller than the demand."""
    world = World(rate, burst)
    world.send(_within_limit(rate, burst), choose)
    world.run(END_S + 1)
    assert world.refused == []


@pytest.mark.parametrize(('rate', 'burst'), LIMITS)
def test_demand_that_doubles_within_the_limit_is_not_refused(rate, burst):
    """Guards against shares that follow a ramp too late."""
    world = World(rate, burst)
    calm = arrivals(0.35 * rate, FILLED_S, END_S)
    added = arrivals(0.35 * rate, 30, END_S, seed=2)
    world.send(calm, _uneven())
    world.send(conforming(added, 0.4 * rate, 0.25 * burst), lambda when: 'west')
    world.run(END_S + 1)
    assert world.refused == []


@pytest.mark.parametrize(('rate', 'burst'), LIMITS)
def test_callers_that_move_at_once_are_served(rate, burst):
    """Guards against callers that wait for a share longer than a round trip.

    All callers change their region within one request; 0.1 s of them may be
    refused.
    """
    world = World(rate, burst)
    world.send(
        _within_limit(rate, burst),
        lambda when: 'north' if when < 30 else 'south',
    )
    world.run(END_S + 1)
    assert len(world.refused) <= 0.1 * rate
    assert all(30 <= when < 31 for when in world.refused)


@pytest.mark.parametrize(('rate', 'burst'), LIMITS)
def test_burst_is_admitted_within_the_bound(rate, burst):
    """Guards against an allowance that each region has for itself."""
    world = World(rate, burst)
    world.send(arrivals(BURST_FACTOR * rate, FILLED_S, 20), _uneven())
    world.run(21)
    assert world.worst_excess() <= 0
    assert len(world.admitted) >= rate * 5 + 0.9 * burst
    assert world.refused


def _partition(world):
    world.at(17, world.partition, 'south')
    world.at(24, world.heal)


def _replace(world):
    for when in (16, 17, 21):
        world.at(when, world.restart_dispatcher, 'north')
    world.at(17, world.restart_dispatcher, 'south')


def _cut_off(entry):
    entry.linked = False
    entry.in_contact = False


def _cut_off_entries(world):
    for region in world.regions.values():
        for entry in region.entries[:2]:
            world.at(17, _cut_off, entry)


def _freeze(world, entry, seconds):
    """Freeze an entry instance; it is linked again soon after."""
    _cut_off(entry)
    entry.frozen = True
    world.at(world.now + seconds, setattr, entry, 'frozen', False)
    for name in ('in_contact', 'linked'):
        world.at(world.now + seconds + 1, setattr, entry, name, True)


def _freeze_entries(world):
    for region in world.regions.values():
        world.at(16, _freeze, world, region.entries[0], 4)


def _lose_dispatcher(world):
    for entry in world.regions['north'].entries:
        world.at(17, setattr, entry, 'linked', False)
        world.at(18.5, setattr, entry, 'linked', True)
    world.at(18.5, world.restart_dispatcher, 'north')


def _stall(world, region, *, is_frozen):
    """Freeze a dispatcher or let it go on; those in contact use it again."""
    region.frozen = is_frozen
    for entry in region.entries:
        entry.linked = entry.in_contact and not is_frozen
    if is_frozen:
        resume = functools.partial(_stall, world, region, is_frozen=False)
        world.at(world.now + 1.4, resume)


def _freeze_dispatchers(world):
    for start, name in ((17, 'north'), (19, 'south'), (25, 'north')):
        region = world.regions[name]
        world.at(
            start, functools.partial(_stall, is_frozen=True), world, region
        )


def _join(world):
    for when in (16, 16.5, 17, 20):
        for name in REGIONS:
            world.at(when, world.join, name)


@pytest.mark.parametrize(('rate', 'burst'), LIMITS)
@pytest.mark.parametrize(
    'disturb',
    [
        _partition,
        _replace,
        _cut_off_entries,
        _freeze_entries,
        _lose_dispatcher,
        _freeze_dispatchers,
        _join,
    ],
)
def test_bound_holds_while_instances_fail(rate, burst, disturb):
    """Guards against instances that admit what others admit as well."""
    world = World(rate, burst)
    disturb(world)
    world.send(arrivals(BURST_FACTOR * rate, FILLED_S, 35), _uneven())
    world.run(36)
    assert world.worst_excess() <= 0


def test_lower_limit_is_in_force_within_a_window():
    """Guards against instances that go on with a former limit."""
    world = World(100, 100)
    world.send(arrivals(500, FILLED_S, 30), _uneven())
    world.at(20, setattr, world, 'limit', Allowance(20, 10))
    world.run(31)
    changed = [when for when in world.admitted if when >= 20.2]
    world.admitted = changed
    assert world.worst_excess() <= 0


def test_share_returns_after_a_partition():
    """Guards against shares that stay where the callers used to be."""
    world = World(100, 100)
    _partition(world)
    times = arrivals(90, FILLED_S, 35)
    world.send(times, lambda when: 'north' if when < 20 else 'south')
    world.run(36)
    late = [when for when in world.refused if when > 25]
    assert late == []
    assert world.worst_excess() <= 0


_PHASES = (Phase.explicit, Phase.generate)
_events = st.lists(
    st.tuples(
        st.floats(FILLED_S, 30),
        st.sampled_from(
            ['cut', 'heal', 'restart', 'lose', 'join', 'freeze', 'stall']
        ),
        st.sampled_from(REGIONS),
    ),
    max_size=12,
)


def _disturb(world, kind, name):
    region = world.regions[name]
    if kind == 'cut':
        world.partition(name)
    elif kind == 'heal':
        world.heal()
    elif kind == 'restart':
        world.restart_dispatcher(name)
    elif kind == 'stall':
        _stall(world, region, is_frozen=True)
    elif kind == 'join':
        world.join(name)
    elif kind == 'lose':
        _cut_off(region.entries[-1])
    else:
        _freeze(world, region.entries[0], 4)


@settings(max_examples=40, deadline=None, phases=_PHASES)
@given(
    _events,
    st.sampled_from(LIMITS),
    st.integers(0, 1000),
    st.sampled_from([1.2, BURST_FACTOR]),
)
def test_bound_holds_under_any_failures(events, limit, seed, factor):
    """Guards against orders of failures that nobody thought of."""
    world = World(*limit)
    # At most two replacements in a deployment's worst case.
    restarts = 0
    for when, kind, name in sorted(events):
        restarts += kind == 'restart'
        if kind != 'restart' or restarts <= 2:
            world.at(when, _disturb, world, kind, name)
    world.send(arrivals(factor * limit[0], FILLED_S, 35, seed), _uneven(seed))
    for when in range(FILLED_S, 35):
        world.run(when)
        shares = [
            region.allowances.share(ACME) for region in world.regions.values()
        ]
        assert sum(shares) <= 1 + 1e-9
    world.run(36)
    assert world.worst_excess() <= 0


@pytest.mark.parametrize(('rate', 'burst'), LIMITS)
def test_parts_of_the_excess_sum_to_at_most_the_excess(rate, burst):
    """Guards against sizes that exceed the bound when all are used at once."""
    allowance = Allowance(rate, burst)
    window_s = BOUNDS.window_s
    total = float(0)
    for share in (0.5, 0.3, 0.2):
        size = SIZES.dispatcher_size(allowance, share)
        total += size.capacity + size.start + size.rate_per_s * window_s
        entry = SIZES.entry_size(allowance, share, 25, cut_off=True)
        total += 25 * (entry.start + entry.rate_per_s * window_s)
    limit = rate * window_s + burst
    assert total <= limit * (1 + BOUNDS.over) + BOUNDS.slack + 1e-6


def test_share_that_is_given_twice_lowers_the_others():
    """Guards against an excess that stays after two dispatchers of a region
    have each given its whole share."""
    ledger = ShareLedger(REGIONS)
    for receiver in ('south', 'west'):
        ledger.apply(ShareTransfer(ACME, 'north', receiver, WHOLE // 3))
    parts = {name: ledger.parts(ACME, name) for name in REGIONS}
    assert parts['north'] == 0
    assert parts['south'] == parts['west'] == WHOLE // 2


def test_ledger_ignores_unknown_regions():
    """Guards against shares that a misconfigured instance invents."""
    world = World(100, 100)
    ledger = world.regions['north'].allowances.ledger
    transfer = ledger.give(ACME, 'elsewhere', 'north', 100)
    other = world.regions['south'].allowances.ledger
    assert not other.apply(transfer)
    assert other.parts(ACME, 'south') == WHOLE // 3
