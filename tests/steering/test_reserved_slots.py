"""Tests of the slots that a region reserves for callers of other regions.

They guard against requests that are refused beside idle slots, because they
may not run in the region of their callers, and against a region that is filled
beyond its slots by them.
"""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from cuminhoist.steering.assignment import assign_targets
from cuminhoist.steering.decisions import Granted, Refused
from cuminhoist.steering.demand import Demand, DemandMeter, HomeDemand
from cuminhoist.steering.dispatcher import Dispatcher
from cuminhoist.steering.reserved_slots import (
    needs_by_lender,
    reserved_slots,
    split_demand,
)
from cuminhoist.steering.slot_lending import DispatchContext, region_pools

from .builders import SERVICE, measured_demand, request, target

REGIONS = {'south-a': 'south', 'north-a': 'north', 'west-a': 'west'}
NORTH = frozenset(('north',))
OWN = {'south': 15, 'north': 15, 'west': 15}


def _entries(without=()):
    return [
        target(f'{domain}-{number}', domain=domain)
        for domain, region in REGIONS.items()
        if region not in without
        for number in range(5)
    ]


def _context(region, *homes):
    return DispatchContext(
        region,
        REGIONS,
        frozenset(),
        dict.fromkeys(OWN, 0),
        {},
        {SERVICE: 0.25},
        {SERVICE: frozenset(homes)},
    )


def _dispatcher(region, measured, *homes, without=()):
    dispatcher = Dispatcher()
    times = dispatcher.queue(SERVICE).run_times
    times.hit_run_s = times.miss_run_s = 0.25
    assign_targets(
        dispatcher, _entries(without), measured, _context(region, *homes), 0
    )
    return dispatcher


def _reserved(demand):
    needs = needs_by_lender(OWN, demand)
    return reserved_slots(OWN, demand.own, needs)


def _demand(region, slots, *by_homes):
    return Demand(region, SERVICE, slots, by_homes)


def test_request_is_served_in_its_only_home():
    """Guards against refusals beside idle slots of the home (CONFIG).

    Callers of the north keep 9 of its 15 slots busy, so that lending leaves
    nothing for other regions.
    """
    measured = measured_demand({'north': 9, 'south': 2, 'west': 2})
    dispatcher = _dispatcher('south', measured, NORTH)
    first = dispatcher.decide_or_queue(
        'e', request(1, allowed_regions=NORTH), 0
    )
    assert isinstance(first, Granted)
    assert first.region == 'north'


def test_home_keeps_room_for_its_own_callers():
    """Guards against a home that gives more than the others need."""
    demand = split_demand(
        OWN,
        [
            _demand('north', 9),
            _demand('south', 3.5, HomeDemand(('north',), 1.5)),
        ],
        OWN,
    )
    assert demand.own == {'north': 9, 'south': 2}
    reserved = _reserved(demand)
    assert set(reserved) == {('north', 'south')}
    assert 1.5 < reserved['north', 'south'] <= 1.5 + 2 * 1.5**0.5
    assert OWN['north'] - reserved['north', 'south'] >= 9


def test_full_home_serves_all_callers_alike():
    """Guards against own callers of the home who starve, or the others."""
    demand = split_demand(
        OWN,
        [
            _demand('north', 20),
            _demand('south', 10, HomeDemand(('north',), 10)),
        ],
        OWN,
    )
    assert _reserved(demand) == {('north', 'south'): pytest.approx(5)}


def test_homes_with_idle_slots_serve_more():
    """Guards against requests for the fuller one of two homes."""
    homes = ('north', 'west')
    demand = split_demand(
        OWN,
        [
            _demand('north', 14),
            _demand('west', 5),
            _demand('south', 2, HomeDemand(homes, 2)),
        ],
        OWN,
    )
    needs = needs_by_lender(OWN, demand)
    assert needs['west']['south'] > 4 * needs['north']['south'] > 0
    assert _reserved(demand)['west', 'south'] > 1


def test_first_requests_are_not_refused():
    """Guards against refusals until the demand has been measured."""
    for without, homes in (((), (NORTH,)), (('south',), ())):
        dispatcher = _dispatcher('south', (), *homes, without=without)
        decision = dispatcher.decide_or_queue(
            'e',
            request(1, allowed_regions=homes[0] if homes else frozenset()),
            0,
        )
        assert isinstance(decision, Granted)


def test_region_without_targets_gets_its_share():
    """Guards against callers who get nothing once their targets are gone.

    The other regions are full, and no region lends what its callers need.
    """
    measured = measured_demand({'north': 15, 'south': 15, 'west': 15})
    dispatcher = _dispatcher('south', measured, without=('south',))
    pools = {
        target.pool for target in dispatcher.queue(SERVICE).placement.usable
    }
    assert sum(pool.slots for pool in pools) == pytest.approx(10)


def test_reserved_slots_are_not_for_others():
    """Guards against requests that take the only room of others.

    All own slots are busy. A request that may run anywhere waits for one or
    is refused; the next one for the home is served.
    """
    measured = measured_demand({'north': 15, 'south': 15, 'west': 15})
    dispatcher = _dispatcher('south', measured, NORTH)
    for number in range(15):
        granted = dispatcher.decide_or_queue('e', request(number), 0)
        assert granted.region == 'south'
    further = dispatcher.decide_or_queue('e', request(20), 0)
    assert further is None or isinstance(further, Refused)
    homed = dispatcher.decide_or_queue(
        'e', request(21, allowed_regions=NORTH), 0
    )
    assert isinstance(homed, Granted)


_slots = st.floats(0, 40)
_homes = st.frozensets(st.sampled_from(sorted(OWN)), max_size=2)


@hypothesis.given(
    st.dictionaries(
        st.sampled_from(sorted(OWN)),
        st.tuples(_slots, st.dictionaries(_homes, _slots, max_size=3)),
    ),
    st.sets(st.sampled_from(sorted(OWN)), max_size=2),
    st.lists(_homes, max_size=2),
)
@hypothesis.settings(derandomize=True)
def test_no_slot_is_given_twice(drawn, lost, known):
    """Guards against a region that is filled beyond its slots."""
    measured = [
        _demand(
            region,
            slots + sum(by_homes.values()),
            *(
                HomeDemand(tuple(sorted(homes)), mean)
                for homes, mean in by_homes.items()
            ),
        )
        for region, (slots, by_homes) in drawn.items()
    ]
    entries = _entries(lost)
    used = dict.fromkeys(OWN, 0)
    for region in OWN:
        pools = region_pools(entries, measured, _context(region, *known), 0.25)
        assert min((pool.slots for pool in pools.values()), default=0) >= 0
        for lender, pool in pools.items():
            used[lender] += pool.slots
    for region, slots in used.items():
        assert slots <= (0 if region in lost else OWN[region]) + 1e-6


def test_demand_is_measured_by_homes():
    """Guards against demand that counts as free to run anywhere."""
    meter = DemandMeter('south', 0)
    for homes in (frozenset(), NORTH, NORTH, NORTH):
        meter.count_request(SERVICE, homes)
    (demand,) = meter.measure([(SERVICE, 0.5, ())], 1)
    assert demand.by_homes == (HomeDemand(('north',), 1.5),)
    assert demand.slots == pytest.approx(2)
    for now in range(2, 40):
        (demand,) = meter.measure([(SERVICE, 0.5, ())], now)
    assert not demand.by_homes


class _OlderDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand in the form of builds that know nothing of homes."""

    region: str
    service: str
    slots: float


def test_builds_read_the_demand_of_each_other():
    """Guards against links that end while builds of two kinds run."""
    newer = _demand('south', 3, HomeDemand(('north',), 1))
    older = _OlderDemand('south', SERVICE, 3)
    assert (
        msgspec.msgpack.decode(msgspec.msgpack.encode(newer), type=_OlderDemand)
        == older
    )
    assert msgspec.msgpack.decode(
        msgspec.msgpack.encode(older), type=Demand
    ) == _demand('south', 3)


def test_nothing_is_reserved_that_nobody_asked_for():
    """Guards against a home that loses a slot to a route without requests."""
    demand = split_demand(OWN, (), OWN, [NORTH])
    assert needs_by_lender(OWN, demand) == {'north': {'south': 0, 'west': 0}}
    assert not _reserved(demand)
    pools = region_pools(_entries(), (), _context('north', NORTH), 0.25)
    assert pools['north'].slots == OWN['north']
