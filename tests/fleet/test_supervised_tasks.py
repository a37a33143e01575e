"""Tests of starting long-lived tasks again after an error.

They guard against a process that runs on without one of its tasks, and against
one that is kept busy by a task which fails at once, again and again.
"""

import asyncio

import pytest
from prometheus_client import CollectorRegistry

from cuminhoist.fleet.background import (
    DOWN_AFTER_S,
    MAX_BACKOFF_S,
    STABLE_AFTER_S,
    BackgroundTasks,
)

pytestmark = pytest.mark.looptime


class Flaky:
    """A task that fails a number of times, each after a time in seconds."""

    def __init__(self, failures, after_s=0.0):
        self.started_at = []
        self._failures = failures
        self._after_s = after_s

    async def run(self):
        self.started_at.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self._after_s)
        if len(self.started_at) <= self._failures:
            raise OverflowError('unforeseen')
        await asyncio.Event().wait()

    def pauses(self):
        """Return the times between two starts, in seconds."""
        pairs = zip(self.started_at, self.started_at[1:], strict=False)
        return [round(later - earlier, 6) for earlier, later in pairs]


def _restarts(registry, task):
    return registry.get_sample_value(
        'cuminhoist_task_restarts_total', {'task': task}
    )


async def test_failed_task_is_started_again():
    """Guards against an instance that has lost a task until it is restarted."""
    registry = CollectorRegistry()
    tasks = BackgroundTasks.from_registry(registry)
    flaky = Flaky(failures=3)
    tasks.supervise('feed', flaky.run)
    await asyncio.sleep(10)
    assert len(flaky.started_at) == 4
    assert _restarts(registry, 'feed') == 3
    await tasks.stop()


async def test_pauses_grow_to_a_limit():
    """Guards against a task that fails at once and takes all processor time."""
    tasks = BackgroundTasks()
    flaky = Flaky(failures=10**6)
    tasks.supervise('feed', flaky.run)
    await asyncio.sleep(60)
    pauses = flaky.pauses()
    assert pauses == sorted(pauses)
    assert pauses[0] < 0.2
    assert pauses[-1] == pytest.approx(MAX_BACKOFF_S)
    assert len(pauses) < 45
    await tasks.stop()


async def test_pause_is_short_again_after_a_long_run():
    """Guards against long pauses after errors that are days apart."""
    tasks = BackgroundTasks()
    flaky = Flaky(failures=10**6, after_s=STABLE_AFTER_S)
    tasks.supervise('feed', flaky.run)
    await asyncio.sleep(20 * STABLE_AFTER_S)
    assert max(flaky.pauses()) < STABLE_AFTER_S + 0.2
    await tasks.stop()


async def test_task_that_stays_down_is_named():
    """Guards against an instance that counts as ready without a task."""
    tasks = BackgroundTasks()
    lost, sound = Flaky(failures=10**6), Flaky(failures=0)
    tasks.supervise('lost', lost.run)
    tasks.supervise('sound', sound.run)
    await asyncio.sleep(DOWN_AFTER_S / 2)
    assert not tasks.is_down('lost')
    await asyncio.sleep(DOWN_AFTER_S)
    assert tasks.is_down('lost')
    assert not tasks.is_down('sound')
    lost._failures = 0
    await asyncio.sleep(MAX_BACKOFF_S + STABLE_AFTER_S + 0.1)
    assert not tasks.is_down('lost')
    await tasks.stop()


async def test_slowly_failing_task_counts_as_down():
    """Guards against a task that does nothing but fails after some seconds."""
    tasks = BackgroundTasks()
    tasks.supervise('feed', Flaky(failures=10**6, after_s=1).run)
    await asyncio.sleep(2 * DOWN_AFTER_S)
    assert tasks.is_down('feed')
    await tasks.stop()


async def test_stop_ends_a_task_that_waits_for_its_start():
    """Guards against tasks that start again after the stop."""
    tasks = BackgroundTasks()
    flaky = Flaky(failures=10**6)
    tasks.supervise('feed', flaky.run)
    await asyncio.sleep(10)
    await tasks.stop()
    starts = len(flaky.started_at)
    await asyncio.sleep(60)
    assert len(flaky.started_at) == starts


async def test_task_that_ends_without_an_error_is_not_started_again():
    """Guards against a second run of a task that is complete."""
    tasks = BackgroundTasks()
    runs = []

    async def run():
        runs.append(1)

    tasks.supervise('once', run)
    await asyncio.sleep(10)
    assert runs == [1]
    assert not tasks.is_down('once')
