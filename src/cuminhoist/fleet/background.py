"""Background tasks, and updates that many events ask for."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from ..logging_setup import logger

#: Least time between two runs of a limited update, in seconds; short against
#: the drain time of targets.
UPDATE_INTERVAL_S = 0.05

_log = logger('process')


class BackgroundTasks:
    """Starts tasks, logs their failures and cancels them together."""

    def __init__(self) -> None:
        self._tasks: list[asyncio.Task[Any]] = []

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in a task of its own.

        :param coroutine: the coroutine; an exception in it is logged.
        """
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_report_failure)
        self._tasks.append(task)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class UpdateLimiter:
    """Runs an update at once, or soon if it has just run.

    Load pattern: a third of hundreds of targets announce their stop within a
    second, and each notice makes an instance assign all targets anew.

    :param update: the update.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self, update: Callable[[], None], now: Callable[[], float]
    ) -> None:
        self._update = update
        self._now = now
        self._updated_at = float('-inf')
        self._timer: asyncio.TimerHandle | None = None

    def request(self) -> None:
        """Run the update once after this call, within the interval."""
        if self._timer is not None:
            return
        wait_s = self._updated_at + UPDATE_INTERVAL_S - self._now()
        if wait_s <= 0:
            self._run()
        else:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(wait_s, self._run)

    def _run(self) -> None:
        self._timer = None
        self._updated_at = self._now()
        self._update()


def _report_failure(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.opt(exception=task.exception()).error('background task failed')
