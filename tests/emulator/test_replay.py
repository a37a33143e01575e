"""Replays the kept load patterns against the decisions."""

import pathlib

import pytest

from cuminhoist.emulator import Simulation, load_pattern

FOLDER = pathlib.Path(__file__).parents[2] / 'examples' / 'loads'
#: Part of the bound that every pattern must reach.
MIN_BOUND_FRACTION = 0.9
PATTERNS = sorted(path.stem for path in FOLDER.glob('*.json'))


def _replay(name, seed=1):
    pattern = load_pattern(FOLDER / f'{name}.json').unwrap()
    return Simulation.from_pattern(pattern, seed).run()


@pytest.mark.parametrize('name', PATTERNS)
def test_pattern_reaches_its_target(name):
    """Guards against decisions that waste what the targets can do."""
    report = _replay(name)
    assert report.in_time() >= MIN_BOUND_FRACTION * report.bound


def test_replay_repeats():
    """Guards against figures that no seed can bring back."""
    first, second = _replay('small-keep'), _replay('small-keep')
    assert first.outcomes == second.outcomes


def test_small_region_is_served():
    """Guards against a region that pays for its few targets.

    Its part in time was 0.66 while it had its own slots only.
    """
    report = _replay('uneven-regions')
    assert report.in_time('north') >= MIN_BOUND_FRACTION
