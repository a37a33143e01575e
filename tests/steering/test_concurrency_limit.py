"""Tests of learned concurrency limits.

They guard against targets that are sent more requests than they get done,
and against limits that stay low although the target could take more.
"""

import random

import pytest

from cuminhoist.steering.concurrency_limit import (
    ConcurrencyLimit,
    FixedLimit,
    ServiceKnee,
)
from cuminhoist.steering.decisions import Ending, Granted
from cuminhoist.steering.target_load import TargetLoad

from .builders import SERVICE, attempt_report, make_dispatcher, request

SLOTS = 9


def _serve(limit, knee, count, now=0.0, seed=3, factor=1.0):
    """Have a target end runs at each concurrency up to the limit."""
    rng = random.Random(seed)
    for _ in range(count):
        running = rng.randint(1, int(limit.limit(now)))
        run_s = 0.3 * factor * max(running / knee, 1) * rng.gauss(1, 0.15)
        if rng.random() < 0.03:
            run_s *= 7
        limit.record_run(running, max(run_s, 0.01))


@pytest.mark.parametrize('knee', [3, 4.5, 6])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_knee_is_learned(knee, seed):
    """Guards against limits far from where run times begin to grow."""
    limit = ConcurrencyLimit(SLOTS, ServiceKnee())
    _serve(limit, knee, 300, seed=seed)
    assert limit.knee == pytest.approx(knee, abs=1.5)
    assert limit.limit(0) < SLOTS


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_target_without_a_knee_gets_all_slots(seed):
    """Guards against slots that stay unused as run times vary."""
    limit = ConcurrencyLimit(SLOTS, ServiceKnee())
    _serve(limit, 1000, 300, seed=seed)
    assert limit.limit(0) >= SLOTS - 1


def test_new_target_starts_low_and_is_raised():
    """Guards against a target that is full before its limit is known."""
    limit = ConcurrencyLimit(SLOTS, ServiceKnee())
    assert limit.limit(0) == 6
    for running in (6, 7, 8):
        for _ in range(4):
            limit.record_run(running, 0.3)
    assert limit.limit(0) == SLOTS


def test_new_target_starts_from_its_service():
    """Guards against a limit that each target learns from nothing."""
    service = ServiceKnee()
    for _ in range(6):
        _serve(ConcurrencyLimit(SLOTS, service), 4.5, 200)
    assert ConcurrencyLimit(SLOTS, service).knee == pytest.approx(5, abs=1)


def test_knee_that_moves_is_followed():
    """Guards against a limit that stays low or high after a change."""
    limit = ConcurrencyLimit(SLOTS, ServiceKnee())
    _serve(limit, 6, 300)
    before = limit.knee
    _serve(limit, 3, 200)
    assert limit.knee < before
    _serve(limit, 8, 400)
    assert limit.knee > before - 1


def test_limit_stays_within_slots_and_one():
    """Guards against a target that gets no request, or too many."""
    for slots in (1, 2, 9, 64):
        limit = ConcurrencyLimit(slots, ServiceKnee())
        for now in range(20):
            _serve(limit, 0.5, 50, now=now, seed=now)
            assert 1 <= limit.limit(now) <= slots


def test_declined_request_lowers_the_limit_at_once():
    """Guards against more requests at a target that turns them away."""
    limit = ConcurrencyLimit(SLOTS, ServiceKnee())
    _serve(limit, 1000, 300)
    limit.record_decline(5, now=1.0)
    assert limit.limit(1.0) == pytest.approx(4)
    assert limit.limit(2.0) == pytest.approx(6)
    assert limit.limit(9.0) >= SLOTS - 1


def test_state_is_bounded():
    """Guards against memory that grows with the slots or the runs."""
    limit = ConcurrencyLimit(1000, ServiceKnee())
    for number in range(5000):
        limit.record_run(number % 1000 + 1, 0.3)
    assert len(limit._runs) <= 16
    assert sum(len(runs) for runs in limit._runs.values()) <= 16 * 11


def test_dispatcher_sends_no_more_than_the_limit():
    """Guards against a learned limit that placement ignores."""
    dispatcher = make_dispatcher(count=1, slots=SLOTS)
    for number in range(120):
        running = number % 6 + 1
        run_s = 0.07 * max(running / 3, 1)
        report = attempt_report(
            Granted(0, 't0'),
            run_s,
            key='o',
            load=TargetLoad(running, 0, SLOTS, 1.0),
        )
        dispatcher.learn_from_attempt(report, 1 + number * 0.01)
    tracked = dispatcher.queue(SERVICE).targets['t0']
    tracked.speed.others_running = 0
    limit = int(tracked.limit(2.3))
    assert limit < SLOTS
    for _ in range(limit):
        assert tracked.has_free_slot(2.3)
        tracked.start('o', 2.3)
    assert not tracked.has_free_slot(2.3)
    assert tracked.wait_s(0.07, 2.3) > 0


def test_shed_request_lowers_the_limit_in_the_dispatcher():
    """Guards against sheds that teach nothing."""
    dispatcher = make_dispatcher(count=1, slots=SLOTS)
    tracked = dispatcher.queue(SERVICE).targets['t0']
    report = attempt_report(Granted(0, 't0'), load=TargetLoad(1, 0, SLOTS, 1.0))
    dispatcher.learn_from_attempt(report, 1.0)
    before = tracked.limit(1.1)
    granted = dispatcher.decide_or_queue('e', request(1), 1.1)
    shed = attempt_report(
        granted, 0, ending=Ending.shed, load=TargetLoad(3, 2, SLOTS, 1.0)
    )
    dispatcher.end_attempt('e', shed, 1.11)
    assert tracked.limit(1.11) < before


def test_slots_are_used_where_no_limits_are_learned():
    """Guards against refusals while targets without a knee have free slots."""
    limit = FixedLimit(SLOTS, ServiceKnee())
    _serve(limit, 3, 300)
    limit.record_decline(3, 0)
    assert limit.limit(0) == SLOTS
    assert limit.contention(SLOTS) == 1
