"""Replays the example load patterns against the dispatchers.

The tests guard against placement decisions that waste capacity of targets,
and against replays that a seed does not reproduce.
"""

import pathlib

import pytest

from cuminhoist.emulator import Simulation, load_pattern

FOLDER = pathlib.Path(__file__).parents[2] / 'examples' / 'loads'
#: Fraction of the bound that every pattern must reach.
MIN_BOUND_FRACTION = 0.9
PATTERNS = sorted(path.stem for path in FOLDER.glob('*.json'))


def _replay(name, seed=1):
    pattern = load_pattern(FOLDER / f'{name}.json').unwrap()
    return Simulation.from_pattern(pattern, seed).run()


@pytest.mark.parametrize('name', PATTERNS)
def test_pattern_reaches_its_target(name):
    """Guards against decisions that waste the capacity of the targets."""
    report = _replay(name)
    assert report.in_time() >= MIN_BOUND_FRACTION * report.bound


def test_replay_repeats():
    """Guards against results that a seed does not reproduce."""
    first, second = _replay('small-keep'), _replay('small-keep')
    assert first.outcomes == second.outcomes


def test_leaving_targets_get_no_late_requests():
    """Guards against requests to targets that said long ago that they leave."""
    assert _replay('leaving-unlisted').after_notices == 0


def test_pauses_of_targets_are_kept():
    """Guards against requests to targets that asked a region for a pause."""
    assert _replay('peak-pauses').in_pauses == 0


def test_named_limits_of_targets_were_ignored():
    """Guards against more requests than a target takes (the incident LIMIT)."""
    assert _replay('named-limits').over_limits == 0


def test_poison_request_goes_from_target_to_target():
    """Guards against a request that ends targets for ever (BUDGET)."""
    report = _replay('poison-requests')
    assert report.poison_sent_on == 0
    assert report.refused_as_poison == 0


def test_callers_of_cut_instances_are_served():
    """Guards against first tries that fail at cut instances (RECOVER)."""
    report = _replay('cut-instances')
    assert {outcome.at_cut for outcome in report.outcomes} == {
        None,
        False,
        True,
    }
    assert report.failed_at_cut() == 0


def test_small_region_is_served():
    """Guards against late answers in a region with few targets.

    Its fraction in time was 0.66 while it could only use its own slots.
    """
    report = _replay('uneven-regions')
    assert report.in_time('north') >= MIN_BOUND_FRACTION


def test_requests_with_a_home_are_served():
    """Guards against refusals in a region beside idle slots of the home.

    About half of those of other regions were while slots were lent by demand
    alone (CONFIG).
    """
    report = _replay('homed-requests')
    for region in ('south', 'west', 'north'):
        homed = [
            outcome.took_s is not None
            for outcome in report.outcomes
            if (outcome.region, outcome.request_class) == (region, 'homed')
        ]
        assert sum(homed) >= MIN_BOUND_FRACTION * len(homed)
