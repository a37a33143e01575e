"""Tests of targets that name a limit on the requests they take.

They guard against instances that together send a target more than it takes,
also while dispatchers are replaced or out of touch, and against a limit that
outlives its end.
"""

import collections
import random

import pytest

from cuminhoist.steering.decisions import Ending, Granted, Refused
from cuminhoist.steering.dispatcher import Dispatcher
from cuminhoist.steering.target_limits import (
    MIN_RATE_PER_S,
    UNLIMITED,
    TargetLimit,
    TargetLimits,
)
from cuminhoist.steering.tracked_target import TrackedTarget

from .builders import REGION, SERVICE, attempt_report, request, target

WINDOW_S = 4.0
LIMIT_PER_S = 3.0


def _dispatcher(region=REGION, others=0):
    """Return a dispatcher of a region; ``t0`` is a target in the south."""
    dispatcher = Dispatcher()
    targets = {
        f't{number}': TrackedTarget(target(f't{number}', slots=20), REGION)
        for number in range(1 + others)
    }
    dispatcher.set_targets(SERVICE, targets, region)
    queue = dispatcher.queue(SERVICE)
    queue.run_times.hit_run_s = queue.run_times.miss_run_s = 0.07
    return dispatcher


def _limit(per_s=LIMIT_PER_S):
    return TargetLimit('t0', 0, per_s)


def _try(dispatcher, number, now):
    """Ask for a placement; tell if ``t0`` was granted. The run takes 10 ms."""
    decision = dispatcher.decide_or_queue(
        'e', request(number, objective_left_s=0.05), now
    )
    dispatcher.withdraw('e', number, SERVICE, now)
    if not isinstance(decision, Granted):
        return False
    report = attempt_report(decision, 0.01, limit_per_s=LIMIT_PER_S)
    dispatcher.end_attempt('e', report, now)
    return decision.target == 't0'


def _most_in_window(times):
    return max(
        sum(start <= at < start + WINDOW_S for at in times) for start in times
    )


def _allowed(per_s=LIMIT_PER_S):
    return 1.5 * per_s * WINDOW_S + 5


@pytest.mark.parametrize('per_s', (0.4, 3, 20))
def test_dispatcher_keeps_a_named_limit(per_s):
    """Guards against requests beyond the limit, saved up ones included."""
    dispatcher = _dispatcher()
    dispatcher.limits.apply([_limit(per_s)], 0)
    sent = []
    for number in range(3000):
        # No requests for a while, so that some could be saved up.
        now = number / 200 + (20 if number > 1500 else 0)
        if _try_limited(dispatcher, number, now, per_s):
            sent.append(now)
    assert _most_in_window(sent) <= per_s * WINDOW_S + 1
    assert len(sent) >= 0.5 * per_s * 15


def _try_limited(dispatcher, number, now, per_s):
    decision = dispatcher.decide_or_queue(
        'e', request(number, objective_left_s=0.05), now
    )
    dispatcher.withdraw('e', number, SERVICE, now)
    if isinstance(decision, Granted):
        report = attempt_report(decision, 0.01, limit_per_s=per_s)
        dispatcher.end_attempt('e', report, now)
    return isinstance(decision, Granted)


def test_requests_use_other_targets_beside_a_limited_one():
    """Guards against requests that wait for a target with a limit."""
    dispatcher = _dispatcher(others=1)
    dispatcher.limits.apply([_limit()], 0)
    targets = collections.Counter()
    for number in range(400):
        now = number / 100
        decision = dispatcher.decide_or_queue('e', request(number), now)
        assert isinstance(decision, Granted)
        targets[decision.target] += 1
        dispatcher.end_attempt('e', attempt_report(decision), now)
    assert targets['t0'] <= LIMIT_PER_S * WINDOW_S


def test_dispatchers_of_other_regions_send_nothing_to_a_limited_target():
    """Guards against a limit that each region uses by itself."""
    dispatcher = _dispatcher('north')
    assert _try(dispatcher, 1, 0)
    # The answer named the limit.
    for number in range(2, 100):
        assert not _try(dispatcher, number, number)
    decision = dispatcher.decide_or_queue('e', request(100), 100)
    assert isinstance(decision, Refused)
    assert decision.retry_after_s < 1


def test_replaced_dispatcher_and_its_successor_keep_the_limit_together():
    """Guards against a limit that counts anew with each dispatcher."""
    former, successor = _dispatcher(), _dispatcher()
    for dispatcher in (former, successor):
        dispatcher.limits.apply([_limit()], 0)
    sent = []
    for number in range(2400):
        now = number / 100
        # For four seconds, entry instances ask one or the other.
        deciding = [former] if now < 14 else [successor]
        if 10 <= now < 14:
            deciding = [former, successor]
        sent += [now for each in deciding if _try(each, number, now)]
    assert _most_in_window(sent) <= _allowed()


def test_instances_out_of_touch_keep_the_limit_together():
    """Guards against a limit that each entry instance uses by itself.

    Half of thirty instances lose their dispatcher and decide themselves, the
    others still use it.
    """
    dispatcher = _dispatcher()
    random.seed(30)
    local = [_dispatcher() for _ in range(30)]
    for each in (dispatcher, *local):
        each.limits.apply([_limit()], 0)
    for each in local:
        each.limits.share(len(local), 0)
    sent = []
    for number in range(3000):
        now = number / 100
        if now == 10:
            for each in local:
                each.limits.restart_rates(now)
        if _try(dispatcher, number, now):
            sent.append(now)
        if now >= 10:
            sent += [now for each in local[:15] if _try(each, number, now)]
    assert _most_in_window(sent) <= _allowed()


def test_limit_ends_with_an_answer_without_it():
    """Guards against a limit that outlives the need of its target."""
    limits = TargetLimits()
    entry = target('t0', started_at_ms=5)
    assert limits.record_answer(TargetLimit('t0', 5, 3), 0, 1)
    assert limits.per_s(entry) == 3
    # The request was sent before the target named its limit.
    assert not limits.record_answer(TargetLimit('t0', 5, None), 0.5, 1.2)
    assert limits.per_s(entry) == 3
    assert limits.record_answer(TargetLimit('t0', 5, None), 1.1, 1.4)
    assert limits.per_s(entry) == UNLIMITED


def test_limit_ends_with_a_restart():
    """Guards against a limit of another incarnation of the target."""
    limits = TargetLimits()
    limits.apply(TargetLimit('t0', 5, 3), 0)
    assert limits.per_s(target('t0', started_at_ms=6)) == UNLIMITED
    assert limits.per_s(target('t0', started_at_ms=5)) == 3


def test_restarted_target_names_the_same_limit():
    """Guards against a limit that counts only for the former start."""
    dispatcher = _dispatcher()
    dispatcher.limits.apply([TargetLimit('t0', 5, LIMIT_PER_S)], 0)
    restarted = target('t0', slots=20, started_at_ms=6)
    dispatcher.set_targets(
        SERVICE, {'t0': TrackedTarget(restarted, REGION)}, REGION, 1
    )
    told = []
    dispatcher.limits.on_limit = told.append
    granted = dispatcher.decide_or_queue('e', request(1), 1)
    report = attempt_report(
        granted, target_started_at_ms=6, limit_per_s=LIMIT_PER_S
    )
    dispatcher.end_attempt('e', report, 1.1)
    assert told == [TargetLimit('t0', 6, LIMIT_PER_S)]
    sent = [n for n in range(400) if _try(dispatcher, n + 2, 1.2 + n / 100)]
    assert len(sent) <= LIMIT_PER_S * WINDOW_S + 1


def test_former_start_changes_nothing():
    """Guards against an instance with an old list that ends a limit."""
    limits = TargetLimits()
    limits.apply(TargetLimit('t0', 6, 3), 0)
    assert not limits.record_answer(TargetLimit('t0', 5, None), 1, 2)
    assert not limits.record_answer(TargetLimit('t0', 5, 9), 1, 2)
    assert limits.in_force() == (TargetLimit('t0', 6, 3),)


def test_limit_of_zero_is_asked_for_its_end():
    """Guards against a target that never gets a request again."""
    dispatcher = _dispatcher()
    dispatcher.limits.apply([_limit(0)], 0)
    sent = [now for now in range(100) if _try_limited(dispatcher, now, now, 0)]
    assert 0 < len(sent) <= 100 * MIN_RATE_PER_S


def test_limit_outlives_a_new_list():
    """Guards against a limit that is lost when targets are assigned anew."""
    dispatcher = _dispatcher()
    dispatcher.limits.apply([_limit()], 0)
    dispatcher.set_targets(SERVICE, {}, REGION, 1)
    dispatcher.set_targets(
        SERVICE,
        {'t0': TrackedTarget(target('t0', slots=20), REGION)},
        REGION,
        2,
    )
    sent = [n for n in range(400) if _try(dispatcher, n, 2 + n / 100)]
    assert len(sent) <= LIMIT_PER_S * WINDOW_S + 1


def test_failed_attempt_without_an_answer_tells_nothing_of_a_limit():
    """Guards against a lost connection that ends a limit."""
    dispatcher = _dispatcher()
    dispatcher.limits.apply([_limit()], 0)
    granted = Granted(1, 't0')
    report = attempt_report(granted, ending=Ending.lost)
    dispatcher.end_attempt('e', report, 5)
    assert dispatcher.limits.in_force()


def test_unlisted_targets_are_forgotten():
    """Guards against limits that are kept for as long as a process runs."""
    limits = TargetLimits()
    limits.apply(_limit(), 0)
    # An instance that has just started has no list yet.
    limits.forget_unlisted([])
    assert limits.in_force()
    limits.forget_unlisted(['t1'])
    assert not limits.in_force()
