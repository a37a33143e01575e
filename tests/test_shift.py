"""Shift cap: no window at any position exceeds the one before it."""

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
    """Return how many sorted admissions lie after start, up to end."""
    return bisect.bisect_right(times, end) - bisect.bisect_right(times, start)


def worst_growth(times, window_s=WINDOW_S):
    """Naive version: compare the windows around every admission.

    The excess changes only where an admission enters or leaves a window.
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
    """Guards against windows that are only capped at aligned positions."""
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
    """Guards against a limiter that holds the cap by refusing too much."""
    clock = ManualClock()
    limiter, times = limiter_at(clock), []
    part_s = WINDOW_S / SLICES_PER_WINDOW
    for pause, number in arrivals:
        clock.advance(pause)
        for _ in range(number):
            if limiter.try_admit('catalogue', 'north') is None:
                times.append(clock.now())
                continue
            # Rounding counts at most two parts against a request: the
            # busiest two parts bound what it can refuse too early.
            slack = 2 * max(
                (count(times, at - 2 * part_s, at) for at in times), default=0
            )
            assert worst_growth([*times, clock.now()]) > GROWTH - slack
            break


def test_steady_traffic_passes_and_quiet_period_starts_small():
    """Guards against a cap that stays high after a quiet period."""
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


def test_not_run_requests_are_uncounted_and_change_applies():
    """Guards against caps eaten up by requests that did not run."""
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
    """Guards against a capacity that ignores slow targets."""
    topology = example_topology()
    capacity = ObservedCapacity(topology, 'gogledd')
    assumed = capacity.requests_per_s('catalogue')
    for _ in range(2000):
        capacity.record_latency('catalogue', 0.05)
    slots = sum(
        target.slots
        for target in topology.targets
        if target.service == 'catalogue'
        and topology.region_of(target.domain) == 'gogledd'
    )
    assert capacity.requests_per_s('catalogue') == pytest.approx(slots / 0.05)
    assert assumed < slots / 0.05
    assert capacity.requests_per_s('nothing') == 0
