"""Tests of machines whose speed varies under the requests that run.

They guard against run times that ignore noise, competition or the speed of a
target, as replays of uneven targets would then show nothing.
"""

import random

import pytest

from cuminhoist.emulator.machines import Machine, run_time_factors
from cuminhoist.emulator.patterns import UnevenTargets


def _end_s(machine):
    """Return the time left of the request that ends first."""
    return machine.next_end()[1]


def test_noise_slows_running_requests():
    """Guards against noise that only counts when a run starts."""
    machine = Machine(UnevenTargets(noise_part=0.15), 1, slots=9)
    machine.start(1, 1, now=0)
    machine.set_noise(0.5, noisy=True)
    assert machine.slowdown == 2.5
    assert _end_s(machine) == pytest.approx(0.5 * 2.5)
    machine.set_noise(0.75, noisy=False)
    assert _end_s(machine) == pytest.approx(0.4)


def test_run_times_grow_beyond_the_knee():
    """Guards against targets that get more done beyond their knee."""
    machine = Machine(UnevenTargets(knee=0.5), 2, slots=8)
    for number in range(4):
        machine.start(number, 1, now=0)
    assert _end_s(machine) == pytest.approx(2)
    for number in range(4, 8):
        machine.start(number, 1, now=0)
    assert _end_s(machine) == pytest.approx(4)
    machine.stop(7, now=2)
    assert _end_s(machine) == pytest.approx(0.5 * 2 * 7 / 4)


def test_changes_void_former_ends():
    """Guards against an end that was scheduled before a change."""
    machine = Machine(UnevenTargets(), 1, slots=1)
    machine.start(1, 1, now=0)
    version = machine.version
    machine.set_noise(0.2, noisy=True)
    assert machine.version != version
    machine.stop(1, now=0.3)
    assert machine.next_end() is None


def test_factors_span_the_range():
    """Guards against targets that are alike."""
    uneven = UnevenTargets(min_factor=0.5, max_factor=2)
    factors = run_time_factors(uneven, 40, random.Random(1))
    assert min(factors) == pytest.approx(0.5, rel=0.05)
    assert max(factors) == pytest.approx(2, rel=0.05)
    assert sorted(factors) != factors
