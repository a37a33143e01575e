"""Tests of the figures that are computed from outcomes.

They guard against a comparison that excuses cut entry instances.
"""

import pytest

from cuminhoist.emulator.report import Outcome, Report


def _outcomes(count, served, *, at_cut):
    return [
        Outcome(
            'south',
            asked_at=0,
            took_s=0.1 if number < served else None,
            moved=False,
            refusals=0,
            at_cut=at_cut,
        )
        for number in range(count)
    ]


def _report(served_at_cut, served_elsewhere=100, count=100):
    return Report(
        objective_s=1,
        bound=1,
        outcomes=[
            *_outcomes(count, served_at_cut, at_cut=True),
            *_outcomes(100, served_elsewhere, at_cut=False),
            *_outcomes(100, 0, at_cut=None),
        ],
    )


@pytest.mark.parametrize(('served', 'failed'), [(66, 34), (67, 0), (0, 100)])
def test_instances_are_compared(served, failed):
    """Guards against cut instances that serve fewer than two thirds."""
    assert _report(served).failed_at_cut() == failed


def test_all_instances_are_compared_in_the_same_load():
    """Guards against blame for refusals that come at every instance."""
    assert not _report(20, served_elsewhere=30).failed_at_cut()
    assert _report(19, served_elsewhere=30).failed_at_cut() == 81


@pytest.mark.parametrize(('count', 'failed'), [(10, 0), (11, 11)])
def test_few_failures_are_tolerated(count, failed):
    """Guards against a verdict on a handful of requests."""
    assert _report(0, count=count).failed_at_cut() == failed


def test_refused_first_tries_are_failures():
    """Guards against callers whose second try hides the first."""
    report = _report(100)
    report.outcomes = [
        Outcome('south', 0, 0.1, moved=False, refusals=1, at_cut=True),
        *_outcomes(10, 0, at_cut=True),
        *_outcomes(10, 10, at_cut=False),
    ]
    assert report.failed_at_cut() == 11
