"""Tests of the run times of unlike kinds of request of one service.

They guard against estimates that mix long and short kinds, so that requests
are taken for cache misses, wait too long or are refused without need.
"""

import random

import pytest

from cuminhoist.steering.work_factors import MAX_KINDS, WorkFactors

from .builders import SERVICE, attempt_report, make_dispatcher, request

AVERAGES_S = (0.1, 0.4)


def _learn(factors, kind, run_s):
    factors.learn(kind, run_s, AVERAGES_S)


def test_unknown_kind_is_average():
    """Guards against an estimate of zero for a new kind."""
    factors = WorkFactors()
    _learn(factors, '', 3)
    assert factors.of('') == factors.of('new') == 1


def test_hits_and_misses_give_the_same_ratio():
    """Guards against a ratio that depends on how often objects are cached."""
    rng = random.Random(1)
    factors = WorkFactors()
    for _ in range(100):
        was_hit = rng.random() < 0.7
        spread = rng.gauss(1, 0.15)
        run_s = 1.5 * AVERAGES_S[0 if was_hit else 1] * spread
        _learn(factors, 'long', run_s)
    assert factors.of('long') == pytest.approx(1.5, rel=0.15)


def test_test_requests_are_short_hits():
    """Guards against a kind of a few milliseconds that looks like a miss."""
    factors = WorkFactors()
    _learn(factors, 'test', 0.003)
    assert factors.of('test') == pytest.approx(0.03)


def test_kinds_are_bounded():
    """Guards against memory that grows with the routes of a configuration."""
    factors = WorkFactors()
    for number in range(2 * MAX_KINDS):
        _learn(factors, f'k{number}', 0.2)
    assert factors.of(f'k{2 * MAX_KINDS - 1}') == 1


def test_each_kind_has_its_own_estimate():
    """Guards against requests whose estimate is that of another kind.

    A long kind was refused too late, and a short one although it could still
    be served in time.
    """
    dispatcher = make_dispatcher(count=1, slots=3)
    queue = dispatcher.queue(SERVICE)
    for number in range(80):
        now = number * 0.5
        kind = 'long' if number % 2 else 'short'
        run_s = 0.07 * (1.5 if kind == 'long' else 1)
        decision = dispatcher.decide_or_queue(
            'e', request(number, 'k', 5, left_s=9, kind=kind), now
        )
        report = attempt_report(decision, run_s=run_s, key='k', kind=kind)
        dispatcher.end_attempt('e', report, now + run_s)
    estimates_s = []
    for kind in ('short', 'long'):
        option = queue.placement.options(
            'k',
            queue.run_times,
            50,
            frozenset(),
            (),
            queue.work_factors.of(kind),
        )[0]
        estimates_s.append(option.total_s)
    assert estimates_s == pytest.approx([0.07, 0.105], rel=0.1)
