"""Tests of the shift cap: no window exceeds its predecessor plus the growth.

They guard against a region that is overloaded by the traffic of a failed one,
because the cap only holds for windows at fixed positions.
"""

import bisect
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhoist.clock import ManualClock
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.config_model import Allowances, Configuration, ShiftCap
from cuminhoist.shift import (
    SLICES_PER_WINDOW,
    CapacitySource,
    ObservedCapacity,
    ShiftLimiter,
)

from .builders import example_topology

WINDOW_S = 10
GROWTH = 20


class FixedCapacity(CapacitySource):
    def requests_per_s(self, service):
        """Return a capacity that makes the growth 20 a window."""
        return 40


def limiter_at(clock, in_force=None):
    """Return a limiter with a growth of 20 requests a window."""
    in_force = in_force or ConfigInForce()
    cap = ShiftCap(service='catalogue', percent=10, window_s=WINDOW_S)
    in_force.replace_if_newer(
        Configuration(version=1, allowances=Allowances(shift_caps=(cap,)))
    )
    return ShiftLimiter(clock, in_force, FixedCapacity(), 2)


def count(times, start, end):
    """Return how many sorted times lie after start and up to end."""
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, start)


def worst_growth(times, window_s=WINDOW_S):
    """Return the highest growth from a window to the next, naively.

    It compares the windows around every admission, since the growth changes
    only where an admission enters or leaves a window.
    """
    edges = set()
    for at in times:
        for shift in (0, window_s, 2 * window_s):
            edges.update((at + shift, at + shift - 1e-7))
    return max(
        (
            count(times, edge - window_s, edge)
            - count(times, edge - 2 * window_s, edge - window_s)
            for edge in edges
        ),
        default=0,
    )


_arrivals = st.lists(
    st.tuples(st.floats(0, 4), st.integers(0, 25)),
    min_size=5,
    max_size=30,
)


@given(_arrivals)
@settings(max_examples=200, deadline=None, derandomize=True)
def test_growth_holds_at_any_window_position(arrivals):
    """Guards against a cap that holds only for aligned windows."""
    clock = ManualClock()
    limiter, times = limiter_at(clock), []
    for pause, number in arrivals:
        clock.advance(pause)
        for _ in range(number):
            if limiter.try_admit('catalogue', 'north') is None:
                times.append(clock.now())
    assert worst_growth(times) <= GROWTH


@given(_arrivals)
@settings(max_examples=100, deadline=None, derandomize=True)
def test_refuses_only_near_the_cap(arrivals):
    """Guards against a limiter that refuses far below the cap."""
    clock = ManualClock()
    limiter, times = limiter_at(clock), []
    slice_s = WINDOW_S / SLICES_PER_WINDOW
    for pause, number in arrivals:
        clock.advance(pause)
        for _ in range(number):
            if limiter.try_admit('catalogue', 'north') is None:
                times.append(clock.now())
                continue
            # Rounding counts at most two slices against a request, so it
            # refuses too early by at most the busiest two slices.
            slack = 2 * max(
                (count(times, at - 2 * slice_s, at) for at in times), default=0
            )
            assert worst_growth([*times, clock.now()]) > GROWTH - slack
            break


def test_steady_traffic_passes_and_idle_time_resets_the_cap():
    """Guards against a cap that stays high after a time without requests."""
    clock, rng = ManualClock(), random.Random(4)
    limiter = limiter_at(clock)
    admitted = []
    for _ in range(12):
        passed = 0
        for _ in range(100):
            clock.advance(rng.uniform(0.05, 0.15))
            passed += limiter.try_admit('catalogue', 'north') is None
        admitted.append(passed)
    assert admitted[0] <= GROWTH + 3
    assert admitted[-1] >= 95
    clock.advance(2 * WINDOW_S + 1)
    burst = [limiter.try_admit('catalogue', 'north') for _ in range(100)]
    assert burst.count(None) == GROWTH
    assert limiter.try_admit('catalogue', 'south') is None
    refused = next(entry for entry in burst if entry)
    assert refused.retry_after_s == pytest.approx(WINDOW_S / SLICES_PER_WINDOW)


def test_not_run_requests_are_refunded_and_new_cap_applies():
    """Guards against caps used up by requests that did not run."""
    clock, in_force = ManualClock(), ConfigInForce()
    limiter = limiter_at(clock, in_force)
    while limiter.try_admit('catalogue', 'north') is None:
        pass
    limiter.refund('catalogue', 'north', clock.now())
    limiter.refund('catalogue', 'north', clock.now() - 1)
    assert limiter.try_admit('catalogue', 'north') is None
    assert limiter.try_admit('catalogue', 'north')
    cap = ShiftCap(service='catalogue', percent=20, window_s=WINDOW_S)
    in_force.replace_if_newer(
        Configuration(version=2, allowances=Allowances(shift_caps=(cap,)))
    )
    assert limiter.try_admit('catalogue', 'north') is None


def test_capacity_follows_observed_service_time():
    """Guards against a cap that stays high when targets become slow."""
    topology = example_topology()
    capacity = ObservedCapacity(topology, 'gogledd')
    initial = capacity.requests_per_s('catalogue')
    for _ in range(2000):
        capacity.record_latency('catalogue', 0.05)
    slots = sum(
        target.slots
        for target in topology.targets
        if target.service == 'catalogue'
        and topology.region_of(target.domain) == 'gogledd'
    )
    assert capacity.requests_per_s('catalogue') == pytest.approx(slots / 0.05)
    assert initial < slots / 0.05
    assert capacity.requests_per_s('nothing') == 0
