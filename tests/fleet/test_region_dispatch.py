"""Tests of what the dispatcher of a region reports to operators."""

from loguru import logger

from cuminhoist.fleet.control_metrics import ControlMetrics
from cuminhoist.fleet.region_dispatch import RegionDispatch
from cuminhoist.steering.decisions import Granted, Refused
from cuminhoist.steering.region_shift_limiter import LOSS_KEPT_S

from ..steering.builders import SERVICE, make_dispatcher, request


def _run(now, dispatch, times):
    """Measure at some times; return the messages that are logged."""
    events = []
    sink = logger.add(lambda text: events.append(text.record['message']))
    try:
        for now[0] in times:
            dispatch.measure()
    finally:
        logger.remove(sink)
    return events


def test_requests_that_changed_region_are_logged():
    """Guards against a fast move of requests that leaves no trace."""
    now = [0.0]
    dispatch = RegionDispatch(
        'south', {}, lambda: now[0], 0.15, ControlMetrics()
    )
    for number in range(100):
        region = 'south' if number < 50 or number % 2 else 'north'
        dispatch.dispatcher.shift_limiter.counts.count(number / 25, region)
    assert _run(now, dispatch, (2.0, 4.0, 4.5)) == ['requests changed region']
    assert b'changed_region_ratio 0.' in dispatch._metrics.render()


def test_requests_that_stay_are_not_logged():
    """Guards against warnings about requests that move within the limit."""
    now = [0.0]
    dispatch = RegionDispatch(
        'south', {}, lambda: now[0], 0.15, ControlMetrics()
    )
    for number in range(100):
        region = 'north' if number % 2 else 'south'
        dispatch.dispatcher.shift_limiter.counts.count(number / 25, region)
    assert _run(now, dispatch, (2.0, 4.0, 4.5)) == []


def test_raised_shift_limit_is_logged_once():
    """Guards against a limit that is raised without a trace."""
    now = [0.0]
    dispatch = RegionDispatch(
        'south', {}, lambda: now[0], 0.15, ControlMetrics()
    )
    dispatch.dispatcher.shift_limiter.record_loss(now[0], 0.5)
    events = _run(now, dispatch, (0.5, 1.0, LOSS_KEPT_S, LOSS_KEPT_S + 1))
    assert events == ['shift limit raised', 'shift limit applies']


def test_refusals_and_waiting_requests_are_counted():
    """Guards against refusals of which operators see no cause."""
    now = [0.0]
    metrics = ControlMetrics()
    dispatch = RegionDispatch('south', {}, lambda: now[0], 0.15, metrics)
    dispatch.dispatcher = make_dispatcher(count=1)
    granted = dispatch.dispatcher.decide_or_queue('e', request(1), 0)
    assert isinstance(granted, Granted)
    waiting = request(2, priority=2)
    assert dispatch.dispatcher.decide_or_queue('e', waiting, 0) is None
    late = request(3, priority=2, objective_left_s=-1)
    assert isinstance(
        dispatch.dispatcher.decide_or_queue('e', late, 0), Refused
    )
    dispatch.measure()
    text = metrics.render().decode()
    labels = f'service="{SERVICE}"'
    assert f'requests{{priority="2",{labels}}} 1.0' in text
    assert f'{{priority="2",reason="overload",{labels}}} 1.0' in text
    now[0] = 9
    dispatch.dispatcher.decide_waiting(9)
    dispatch.measure()
    text = metrics.render().decode()
    assert f'waiting_requests{{priority="2",{labels}}} 0.0' in text
    assert f'displaced_requests_total{{priority="2",{labels}}} 1.0' in text
