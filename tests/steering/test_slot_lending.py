"""Tests of the slots that regions lend to each other.

They guard against slots that two dispatchers use at once, and against waits
in a region while others have spare slots.
"""

import hypothesis
from hypothesis import strategies as st

from cuminhoist.steering.slot_lending import (
    HEADROOM_ROOTS,
    DispatchContext,
    lent_slots,
    make_tracked_targets,
    region_pools,
    usable_entries,
)
from cuminhoist.steering.targets import TargetState

from .builders import SERVICE, measured_demand, target

REGIONS = {'south-a': 'south', 'north-a': 'north', 'middle-a': 'middle'}

_demand = st.dictionaries(
    st.sampled_from(sorted(set(REGIONS.values()))),
    st.floats(0, 60),
)


def _entries():
    domains = ['south-a'] * 8 + ['north-a'] * 2 + ['middle-a'] * 6
    return [
        target(f't{number}', domain=domain)
        for number, domain in enumerate(domains)
    ]


def _round_trips(seconds):
    return dict.fromkeys(REGIONS.values(), seconds)


def _context(region):
    return DispatchContext(
        region, REGIONS, frozenset(), _round_trips(0), {}, {SERVICE: 0.07}
    )


@hypothesis.given(_demand)
@hypothesis.settings(derandomize=True)
def test_no_slot_is_given_twice(demand):
    """Guards against lending a slot that another dispatcher also uses."""
    used = 0
    measured = measured_demand(demand)
    for region in sorted(set(REGIONS.values())):
        pools = region_pools(_entries(), measured, _context(region), 0.07)
        assert min(pool.slots for pool in pools.values()) >= 0
        used += sum(pool.slots for pool in pools.values())
    assert used <= sum(entry.slots for entry in _entries()) + 1e-6


def test_lenders_keep_headroom_for_their_own_requests():
    """Guards against waits in a region that lends too many slots."""
    own = {'south': 24, 'north': 6, 'middle': 18}
    demand = {'south': 5, 'north': 1.5, 'middle': 5}
    lent = lent_slots(own, demand)
    for region, mean in demand.items():
        lent_total = sum(
            slots for (lender, _), slots in lent.items() if lender == region
        )
        assert (
            own[region] - lent_total >= mean + HEADROOM_ROOTS * mean**0.5 - 1e-9
        )


def test_short_region_borrows_before_it_is_full():
    """Guards against waits in a small region while others can lend."""
    own = {'south': 24, 'north': 6, 'middle': 18}
    demand = {'south': 5, 'north': 4, 'middle': 5}
    lent = lent_slots(own, demand)
    assert (
        sum(
            slots
            for (_, borrower), slots in lent.items()
            if borrower == 'north'
        )
        >= 2
    )


def test_little_more_demand_moves_little():
    """Guards against large shifts after a small change of demand."""
    own = {'south': 24, 'north': 6, 'middle': 18}
    previous = sum(lent_slots(own, {'north': 5}).values())
    after = sum(lent_slots(own, {'north': 5.2}).values())
    assert 0 < after - previous < 0.5


def test_drained_domains_and_leaving_targets_get_nothing():
    """Guards against requests to drained domains and leaving targets."""
    entries = [
        target('a'),
        target('b', state=TargetState.draining),
        target('c', domain='north-a'),
    ]
    usable = usable_entries(entries, frozenset(('north-a',)))
    assert [entry.name for entry in usable] == ['a']


def test_restarted_target_starts_with_empty_cache():
    """Guards against expecting cache hits at a restarted target."""
    context = DispatchContext(
        'south', REGIONS, frozenset(), _round_trips(0.07), {}, {SERVICE: 0.07}
    )
    targets = make_tracked_targets(
        {}, [target('a', started_at_ms=1)], {}, context, 0
    )
    targets['a'].observe('k', 1, 0)
    restarted = make_tracked_targets(
        targets, [target('a', started_at_ms=2)], {}, context, 1
    )
    assert not restarted['a'].has_cached('k')
    unchanged = make_tracked_targets(
        targets, [target('a', started_at_ms=1)], {}, context, 1
    )
    assert unchanged['a'].has_cached('k')
