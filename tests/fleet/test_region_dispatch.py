"""Tests of what the dispatcher of a region reports to operators."""

from loguru import logger

from cuminhoist.fleet.control_metrics import ControlMetrics
from cuminhoist.fleet.region_dispatch import RegionDispatch
from cuminhoist.steering.region_shift_limiter import DISTURBED_S


def test_suspended_shift_limit_is_logged_once():
    """Guards against a limit that is suspended without a trace."""
    events = []
    sink = logger.add(lambda text: events.append(text.record['message']))
    now = [0.0]
    dispatch = RegionDispatch(
        'south', {}, lambda: now[0], 0.15, ControlMetrics()
    )
    try:
        dispatch.dispatcher.shift_limiter.record_disturbance(now[0])
        for now[0] in (0.5, 1.0, DISTURBED_S, DISTURBED_S + 1):
            dispatch.measure()
    finally:
        logger.remove(sink)
    assert events == ['shift limit suspended', 'shift limit applies']
