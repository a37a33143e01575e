"""Tests of learned speeds of targets.

They guard against slow targets that are chosen while another one is free,
against one long run that makes a target look slow, and against a crowd of
requests at the target that has just told that it is fast.
"""

import random

import pytest

from cuminhoist.steering.decisions import Ending, Granted
from cuminhoist.steering.slot_lending import (
    DispatchContext,
    make_tracked_targets,
)
from cuminhoist.steering.target_load import TargetLoad
from cuminhoist.steering.target_speed import (
    USUAL_RUNS,
    SpeedNews,
    TargetSpeed,
)

from .builders import (
    REGION,
    SERVICE,
    attempt_report,
    make_dispatcher,
    request,
    target,
)

HIT_S = 0.07


def _load(slowdown):
    return TargetLoad(1, 0, 9, slowdown)


def _tell(dispatcher, name, slowdown, now, run_s=HIT_S, **fields):
    """Have a target answer a request that another dispatcher granted."""
    fields = {'key': 'o', **fields}
    report = attempt_report(
        Granted(0, name), run_s, load=_load(slowdown), **fields
    )
    dispatcher.learn_from_attempt(report, now)


def _teach(dispatcher, slow, now=10.0, runs=30):
    """Have all targets answer; those named tell that they are slow."""
    for number in range(runs):
        for name in dispatcher.queue(SERVICE).targets:
            slowdown = 2.5 if name in slow else 1.0
            _tell(
                dispatcher,
                name,
                slowdown,
                now - 0.02 * (runs - number),
                HIT_S * slowdown,
            )


def _granted_names(dispatcher, count, now, key=''):
    decisions = (
        dispatcher.decide_or_queue('e', request(number, key), now)
        for number in range(1, count + 1)
    )
    return [
        decision.target
        for decision in decisions
        if isinstance(decision, Granted)
    ]


def test_target_that_is_slow_now_is_avoided():
    """Guards against requests at a target that has just told it is slow."""
    dispatcher = make_dispatcher(count=2, slots=9)
    _teach(dispatcher, slow={'t0'})
    assert set(_granted_names(dispatcher, 4, now=10.01)) == {'t1'}


def test_slow_target_is_used_while_no_other_is_free():
    """Guards against long waits while only slow targets are free."""
    dispatcher = make_dispatcher(count=2, slots=1)
    _teach(dispatcher, slow={'t0'})
    names = _granted_names(dispatcher, 4, now=10.01)
    assert sorted(names) == ['t0', 't1']


def test_old_news_count_for_nothing():
    """Guards against a target that is avoided long after it was slow."""
    dispatcher = make_dispatcher(count=2, slots=9)
    _teach(dispatcher, slow={'t0'})
    names = _granted_names(dispatcher, 10, now=13.5)
    assert 't0' in names


def test_hundreds_of_requests_with_the_same_news_are_spread():
    """Guards against a crowd at the targets that told they are fast."""
    dispatcher = make_dispatcher(count=60, slots=9)
    slow = {f't{number}' for number in range(0, 60, 7)}
    _teach(dispatcher, slow)
    names = _granted_names(dispatcher, 200, now=10.05)
    assert len(names) == 200
    assert not slow & set(names)
    counts = [
        names.count(f't{number}')
        for number in range(60)
        if f't{number}' not in slow
    ]
    assert max(counts) <= 6
    assert min(counts) >= 2


def test_one_long_run_says_nothing():
    """Guards against a target that is marked as slow by one long run.

    One run in thirty takes seven times as long.
    """
    rng = random.Random(4)
    speed = TargetSpeed(SpeedNews(), 9)
    for number in range(60):
        long_run = number % 20 == 0
        ratio = rng.gauss(1, 0.15) * (7 if long_run else 1)
        speed.add_run(ratio, now=number * 0.1)
        assert speed.usual_ratio(number * 0.1) < 1.3
        assert not speed.is_disturbed(number * 0.1)


def test_long_run_raises_no_limit_on_shifts():
    """Guards against a region that counts as lost after one long run."""
    dispatcher = make_dispatcher(count=1, slots=9)
    _teach(dispatcher, slow=set())
    tracked = dispatcher.queue(SERVICE).targets['t0']
    _tell(dispatcher, 't0', 1.0, 10.0, run_s=7 * HIT_S)
    assert not tracked.is_disturbed(10.0)
    assert tracked.slowdown(10.0) == pytest.approx(1, abs=0.1)


def test_long_run_in_progress_says_nothing():
    """Guards against a target that looks slow while one run takes long."""
    dispatcher = make_dispatcher(count=1, slots=9)
    _teach(dispatcher, slow=set())
    tracked = dispatcher.queue(SERVICE).targets['t0']
    _granted_names(dispatcher, 1, now=10.0)
    assert tracked.slowdown(11.0) < 1.3


def test_lasting_slowness_is_noticed():
    """Guards against robust statistics that hide a fault for long."""
    speed = TargetSpeed(SpeedNews(), 9)
    for number in range(USUAL_RUNS):
        speed.add_run(1, now=number * 0.1)
    for number in range(3):
        speed.add_run(5, now=4 + number * 0.1)
    assert speed.is_disturbed(4.3)
    assert speed.usual_ratio(4.3) == pytest.approx(5)


@pytest.mark.parametrize('key', ['o', ''])
def test_target_of_unlike_speed_is_not_disturbed(key):
    """Guards against targets that are slow by nature counting as lost."""
    dispatcher = make_dispatcher(count=3, slots=9)
    for number in range(40):
        for name, factor in (('t0', 2.4), ('t1', 1), ('t2', 0.6)):
            now = number * 0.05
            _tell(dispatcher, name, 1.0, now, HIT_S * factor, key=key)
    targets = dispatcher.queue(SERVICE).targets
    assert not any(each.is_disturbed(2.0) for each in targets.values())
    slow, fast = targets['t0'], targets['t2']
    assert slow.slowdown(2.0) / fast.slowdown(2.0) == pytest.approx(4, rel=0.1)


def test_news_lose_worth_as_answers_show():
    """Guards against a fixed worth of old news, whatever targets do."""
    rng = random.Random(2)
    lasting, fleeting = SpeedNews(), SpeedNews()
    told = 1.0
    for _ in range(400):
        before, told = told, rng.choice((1.0, 2.5))
        fleeting.record(told, before, 0.3)
    for number in range(400):
        told = 2.5 if number // 100 % 2 else 1.0
        lasting.record(told, told, 0.3)
    assert lasting.expected(2.5, 0.3) > 2.2
    assert fleeting.expected(2.5, 0.3) < 2.0


def test_restarted_target_is_new():
    """Guards against the speed of a former start of a target."""
    dispatcher = make_dispatcher(count=1, slots=9)
    _teach(dispatcher, slow={'t0'})
    queue = dispatcher.queue(SERVICE)
    assert queue.targets['t0'].speed is not None
    context = DispatchContext(
        REGION, {'south-a': REGION}, frozenset(), {}, {}, {}
    )
    entry = target('t0', slots=9, started_at_ms=5000)
    renewed = make_tracked_targets(queue.targets, [entry], {}, context, 11)
    assert renewed['t0'].speed is None


def test_warm_up_is_not_slowness():
    """Guards against a speed learned while the target warms up."""
    dispatcher = make_dispatcher(count=1, slots=9)
    _teach(dispatcher, slow=set())
    tracked = dispatcher.queue(SERVICE).targets['t0']
    tracked.warmup_until = 20.0
    for number in range(40):
        _tell(dispatcher, 't0', 1.0, 10 + number * 0.1, run_s=2 * HIT_S)
    assert tracked.speed.usual_ratio(14.0) == pytest.approx(1, abs=0.1)


def test_targets_that_tell_no_slowdown_have_no_learned_speed():
    """Guards against changes for services whose targets do not tell it."""
    dispatcher = make_dispatcher(count=1, slots=9)
    for load in (None, TargetLoad(1, 0, 9)):
        report = attempt_report(Granted(0, 't0'), load=load)
        dispatcher.learn_from_attempt(report, 1.0)
    assert dispatcher.queue(SERVICE).targets['t0'].speed is None


def test_failed_attempts_are_no_run_times():
    """Guards against a speed learned from answers that came early."""
    dispatcher = make_dispatcher(count=1, slots=9)
    granted = dispatcher.decide_or_queue('e', request(1), 1.0)
    report = attempt_report(
        granted, 0.01, load=_load(1.0), ending=Ending.failed
    )
    dispatcher.end_attempt('e', report, 1.01)
    tracked = dispatcher.queue(SERVICE).targets['t0']
    assert tracked.speed.usual_ratio(1.01) == 1
