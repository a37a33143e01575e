"""Tests of limiting how often an update runs.

They guard against hundreds of assignments of all targets within a second.
"""

import asyncio

import pytest

from cuminhoist.fleet.background import UPDATE_INTERVAL_S, UpdateLimiter

pytestmark = pytest.mark.looptime


def _limiter():
    clock = asyncio.get_running_loop().time
    updated_at = []
    return UpdateLimiter(lambda: updated_at.append(clock()), clock), updated_at


async def test_first_request_runs_at_once():
    """Guards against a delay of a single event."""
    limiter, updated_at = _limiter()
    limiter.request()
    assert len(updated_at) == 1


async def test_many_requests_run_once_more():
    """Guards against an update for each event, and against a lost last one."""
    limiter, updated_at = _limiter()
    for _ in range(100):
        limiter.request()
    assert len(updated_at) == 1
    await asyncio.sleep(2 * UPDATE_INTERVAL_S)
    assert len(updated_at) == 2
    assert updated_at[1] - updated_at[0] == pytest.approx(UPDATE_INTERVAL_S)


async def test_request_after_the_interval_runs_at_once():
    """Guards against a limit that stays after the events have ended."""
    limiter, updated_at = _limiter()
    limiter.request()
    await asyncio.sleep(UPDATE_INTERVAL_S)
    limiter.request()
    assert len(updated_at) == 2
