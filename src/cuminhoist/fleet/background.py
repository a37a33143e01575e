"""Background tasks that are started, monitored and cancelled as a group."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from ..logging_setup import logger

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


def _report_failure(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.opt(exception=task.exception()).error('background task failed')
