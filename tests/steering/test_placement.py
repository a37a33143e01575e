"""Tests of the placement among hundreds of targets.

They guard against decisions whose cost grows with the number of targets, and
against a choice that is much worse than that of a naive comparison of all.
"""

import random

import pytest

from cuminhoist.steering.decisions import Ending
from cuminhoist.steering.placement import Placement, Requirements, RunTimes
from cuminhoist.steering.tracked_target import SlotPool, TrackedTarget

from .builders import REGION, target

TIMES = RunTimes(hit_run_s=0.1, miss_run_s=0.4, mean_s=0.2)
KEYS = [f'k{number}' for number in range(100)]


def _targets(count, slots=3):
    targets = {
        name: TrackedTarget(target(name, slots=slots), REGION)
        for name in (f't{number}' for number in range(count))
    }
    for tracked in targets.values():
        tracked.untried = False
    return targets


def _options(placement, key, now=0, excluded=()):
    return placement.options(key, TIMES, now, Requirements(excluded=excluded))


def _best(options):
    return min(options, key=lambda option: option.total_s)


def _load(placement, rng, busy_fraction):
    """Keep a fraction of the slots busy, and cache some objects."""
    for tracked in placement.targets.values():
        for _ in range(3):
            tracked.start('', 0)
            tracked.end(Ending.answered, rng.choice(KEYS), 1, 0)
        for _ in range(tracked.slots):
            if rng.random() < busy_fraction:
                tracked.start('', 0)


@pytest.mark.parametrize('busy_fraction', [0, 0.5, 0.95, 1])
def test_few_targets_are_compared(busy_fraction):
    """Guards against a dispatcher that is saturated by hundreds of targets."""
    placement = Placement(_targets(1000), REGION)
    _load(placement, random.Random(1), busy_fraction)
    counts = [len(_options(placement, key)) for key in KEYS]
    assert sum(counts) / len(counts) <= 2 * 16 + 16


@pytest.mark.parametrize('busy_fraction', [0, 0.5, 0.9])
def test_choice_is_about_as_good_as_a_comparison_of_all(busy_fraction):
    """Guards against waits and cache misses that another target saves."""
    placement = Placement(_targets(300), REGION)
    _load(placement, random.Random(2), busy_fraction)
    for key in KEYS:
        found = _best(_options(placement, key))
        naive_total_s = min(
            tracked.wait_s(TIMES.hit_run_s, 0)
            + (
                TIMES.hit_run_s
                if tracked.has_cached(key)
                else TIMES.presumed_run_s(remote=False)
            )
            for tracked in placement.targets.values()
        )
        assert found.total_s <= naive_total_s + TIMES.miss_run_s * 0.5


def test_holder_outside_the_first_ranks_is_found():
    """Guards against a cache miss although some target has the object."""
    placement = Placement(_targets(300), REGION)
    holder = placement.targets['t250']
    holder.start('k', 0)
    holder.end(Ending.answered, 'k', 1, 0)
    assert _best(_options(placement, 'k')).target is holder
    later = Placement(placement.targets, REGION, placement.history)
    assert _best(_options(later, 'k')).target is holder
    holder.forget_objects()
    without = {
        name: tracked
        for name, tracked in placement.targets.items()
        if tracked is not holder
    }
    replaced = Placement(without, REGION, placement.history)
    assert _best(_options(replaced, 'k')).target is not holder


def test_evicted_object_has_no_holder():
    """Guards against an index that grows with all objects ever seen."""
    placement = Placement(_targets(30), REGION)
    tracked = placement.targets['t0']
    tracked.cache.capacity = 2
    for key in ('a', 'b', 'c'):
        tracked.start(key, 0)
        tracked.end(Ending.answered, key, 1, 0)
    held = {key for key, names in placement.history.holders.items() if names}
    assert held == {'b', 'c'}


def test_excluded_targets_are_not_offered():
    """Guards against a retry at the target that just failed."""
    placement = Placement(_targets(100), REGION)
    first = _best(_options(placement, 'k')).target.entry.name
    names = {
        option.target.entry.name
        for option in _options(placement, 'k', excluded=(first,))
    }
    assert names
    assert first not in names


def test_free_slot_is_found_when_the_first_ranks_are_busy():
    """Guards against waits while other targets of a large service are idle."""
    placement = Placement(_targets(300), REGION)
    first = placement.history.orders[REGION].first_names('k')
    for name in first:
        placement.targets[name].queued = 20
    assert _best(_options(placement, 'k')).wait_s == 0


def test_unlent_region_is_left_out():
    """Guards against requests at targets of a region that lends no slots."""
    targets = _targets(50)
    remote = TrackedTarget(target('r0'), 'north')
    remote.pool = SlotPool(0)
    placement = Placement({**targets, 'r0': remote}, REGION)
    regions = {option.target.region for option in _options(placement, 'k')}
    assert regions == {REGION}
