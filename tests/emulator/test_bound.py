"""Tests of the upper bound that replays are compared with.

They guard against a bound that is too low, which replays could exceed, and
against one that is too high, which no placement could reach.
"""

import pathlib

import msgspec
import pytest

from cuminhoist.emulator import Simulation, load_pattern
from cuminhoist.emulator.bound import max_in_time_fraction
from cuminhoist.emulator.patterns import UnevenTargets

FOLDER = pathlib.Path(__file__).parents[2] / 'examples' / 'loads'


def _pattern(name):
    return load_pattern(FOLDER / f'{name}.json').unwrap()


def _with_work(name, **changes):
    pattern = _pattern(name)
    work = msgspec.structs.replace(pattern.work, **changes)
    return msgspec.structs.replace(pattern, work=work)


@pytest.mark.parametrize(
    'name',
    [
        'many-objects',
        'declining-targets',
        'leaving-unlisted',
        'peak-pauses',
        'uneven-targets',
        'noisy-targets',
    ],
)
def test_replay_stays_below_the_bound(name):
    """Guards against a bound that a replay exceeds."""
    report = Simulation.from_pattern(_pattern(name), 2).run()
    assert report.in_time() <= report.bound


def test_late_first_requests_lower_the_bound():
    """Guards against a bound that counts late cache misses as in time.

    The first request of each object misses the cache and is late: 300 of
    6720 requests.
    """
    pattern = _with_work('many-objects', object_count=300, warm_part=0.01)
    pattern = msgspec.structs.replace(
        pattern,
        callers=msgspec.structs.replace(pattern.callers, objective_s=0.3),
    )
    request_count = 210 * pattern.length_s
    assert max_in_time_fraction(pattern) < 1 - 300 / request_count


def test_first_requests_in_time_leave_the_bound():
    """Guards against counting a cache miss as late if it is in time."""
    pattern = _with_work('many-objects', cold_s=0.1)
    assert max_in_time_fraction(pattern) == pytest.approx(1)


def test_leaving_targets_count_until_they_stop():
    """Guards against a bound that counts slots of stopped targets."""
    pattern = _pattern('leaving-unlisted')
    everyone = msgspec.structs.replace(pattern.leaving[0], part=1)
    pattern = msgspec.structs.replace(pattern, leaving=(everyone,))
    served_fraction = (everyone.at_s + everyone.stop_after_s) / pattern.length_s
    assert max_in_time_fraction(pattern) == pytest.approx(
        served_fraction, abs=0.02
    )


def test_overloaded_targets_count_what_they_run():
    """Guards against a bound that counts slots overloaded targets don't use."""
    pattern = _pattern('peak-pauses')
    idle = msgspec.structs.replace(pattern.overloaded[0], part=1, slots=0)
    pattern = msgspec.structs.replace(pattern, overloaded=(idle,))
    rest_s = pattern.length_s - idle.for_s
    served_fraction = rest_s / (rest_s + idle.for_s * pattern.bursts[0].factor)
    assert max_in_time_fraction(pattern) == pytest.approx(
        served_fraction, abs=0.02
    )


def test_uneven_targets_lower_the_bound():
    """Guards against a bound that counts what targets can't do.

    Half of the slots do work, and 5 in 100 runs, which take seven times as
    long, are late at any target.
    """
    pattern = _with_work('uneven-targets', cold_s=0.3)
    assert max_in_time_fraction(pattern) == pytest.approx(1)
    uneven = UnevenTargets(knee=0.5, tail_part=0.05, tail_factor=20)
    pattern = msgspec.structs.replace(pattern, uneven=uneven)
    assert max_in_time_fraction(pattern) == pytest.approx(0.95, abs=0.001)
    busy = [
        msgspec.structs.replace(region, per_s=1e5) for region in pattern.regions
    ]
    pattern = msgspec.structs.replace(pattern, regions=tuple(busy))
    usual = msgspec.structs.replace(pattern, uneven=UnevenTargets())
    assert max_in_time_fraction(pattern) == pytest.approx(
        max_in_time_fraction(usual) * 0.5 / 1.95 * 0.95, rel=1e-4
    )
