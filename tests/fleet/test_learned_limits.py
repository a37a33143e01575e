"""Tests of the metrics and log lines of learned limits.

They guard against an operator who can't see which targets are sent fewer
requests than they have slots, and against a line for each change.
"""

import pytest

from cuminhoist.fleet import learned_limits
from cuminhoist.fleet.control_metrics import ControlMetrics
from cuminhoist.fleet.learned_limits import MAX_NAMED_TARGETS, LearnedLimits

from ..steering.builders import REGION, SERVICE, make_dispatcher


def _learning(count):
    dispatcher = make_dispatcher(count=count, slots=9)
    queue = dispatcher.queue(SERVICE)
    for target in queue.targets.values():
        target.learn_speed(queue.speed_news)
    return dispatcher


def test_limits_are_shown_by_service():
    """Guards against metrics that name every target."""
    dispatcher = _learning(20)
    metrics = ControlMetrics()
    LearnedLimits(REGION, metrics).update(dispatcher.queues(), 1.0)
    text = metrics.render().decode()
    assert f'cuminhoist_limited_targets{{service="{SERVICE}"}} 20.0' in text
    named = text.count('cuminhoist_lowest_limit_ratio{')
    assert named == MAX_NAMED_TARGETS
    median = metrics.learned_limits.quantiles.labels(
        SERVICE, '0.5'
    )._value.get()
    assert median == pytest.approx(6 / 9)


def test_low_limit_is_logged_once_and_when_it_is_back(monkeypatch):
    """Guards against a line every half second."""
    lines = []
    monkeypatch.setattr(
        learned_limits, 'log_change', lambda **line: lines.append(line)
    )
    dispatcher = _learning(1)
    limits = LearnedLimits(REGION, ControlMetrics())
    target = dispatcher.queue(SERVICE).targets['t0']
    target.speed.limit.record_decline(2, 1.0)
    for now in (1.0, 1.1, 9.0, 9.1):
        limits.update(dispatcher.queues(), now)
    assert [(line['target'], line['low']) for line in lines] == [
        ('t0', True),
        ('t0', False),
    ]


def test_targets_that_tell_no_slowdown_are_not_shown():
    """Guards against metrics of services without learned limits."""
    metrics = ControlMetrics()
    dispatcher = make_dispatcher(count=3)
    LearnedLimits(REGION, metrics).update(dispatcher.queues(), 1.0)
    assert 'cuminhoist_limited_targets{' not in metrics.render().decode()
