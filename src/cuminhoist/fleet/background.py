"""Background tasks, and updates that many events ask for."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from typing import Any, Self

from prometheus_client import CollectorRegistry, Counter, Gauge

from ..logging_setup import logger

#: Least time between two runs of a limited update, in seconds; short against
#: the drain time of targets.
UPDATE_INTERVAL_S = 0.05
#: Pause before the first start of a failed task, in seconds; it doubles with
#: each further failure.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
#: A task that has run for this long counts as sound again, in seconds.
STABLE_AFTER_S = 5.0
#: A task that has failed again and again for this long counts as down, in
#: seconds.
DOWN_AFTER_S = 5.0

_log = logger('process')


class SupervisedTask:
    """Runs a task and starts it again after an error.

    :param name: name of the task in logs and metrics.
    :param factory: starts the task.
    :param on_restart: called with the name before each new start.
    """

    def __init__(
        self,
        name: str,
        factory: Callable[[], Awaitable[None]],
        on_restart: Callable[[str], None],
    ) -> None:
        self._name = name
        self._factory = factory
        self._on_restart = on_restart
        self._now = asyncio.get_running_loop().time
        self._started_at = self._now()
        self._failing_since: float | None = None
        self._is_running = False

    @property
    def is_down(self) -> bool:
        """Whether it has failed for long and is not sound again."""
        if self._failing_since is None or self._is_stable():
            return False
        return self._now() - self._failing_since > DOWN_AFTER_S

    async def run(self) -> None:
        """Run the task until it ends without an error, or is cancelled."""
        backoff_s = MIN_BACKOFF_S
        while not await self._runs_to_its_end():
            if self._is_stable():
                self._failing_since = None
                backoff_s = MIN_BACKOFF_S
            if self._failing_since is None:
                self._failing_since = self._now()
            self._is_running = False
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
            self._on_restart(self._name)

    async def _runs_to_its_end(self) -> bool:
        self._started_at = self._now()
        self._is_running = True
        try:
            await self._factory()
        except Exception:
            _log.bind(task=self._name).exception(
                'background task failed; starting it again'
            )
            return False
        self._failing_since = None
        return True

    def _is_stable(self) -> bool:
        ran_s = self._now() - self._started_at
        return self._is_running and ran_s >= STABLE_AFTER_S


class BackgroundTasks:
    """Starts tasks, logs their failures and cancels them together.

    :param on_restart: called with the name of a task before each new start;
        None for no call.
    """

    def __init__(self, on_restart: Callable[[str], None] | None = None) -> None:
        self._tasks: list[asyncio.Task[Any]] = []
        self._supervised: dict[str, SupervisedTask] = {}
        self._on_restart = on_restart or _ignore_restart

    @classmethod
    def from_registry(cls, registry: CollectorRegistry) -> Self:
        """Return tasks that are reported by an instance's metrics.

        :param registry: registry of the metrics.
        """
        restarts = Counter(
            'cuminhoist_task_restarts',
            'Starts of long-lived tasks after an error, by task.',
            ('task',),
            registry=registry,
        )
        tasks = cls(lambda name: restarts.labels(name).inc())
        down = Gauge(
            'cuminhoist_tasks_down',
            'Long-lived tasks that fail again and again.',
            registry=registry,
        )
        down.set_function(tasks.count_down)
        return tasks

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in a task of its own.

        :param coroutine: the coroutine; an exception in it is logged.
        """
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_report_failure)
        self._tasks.append(task)

    def supervise(
        self, name: str, factory: Callable[[], Awaitable[None]]
    ) -> None:
        """Run a long-lived task, and start it again after an error.

        :param name: name of the task in logs and metrics.
        :param factory: starts the task; it must be able to go on from the
            state that a failed run has left.
        """
        supervised = SupervisedTask(name, factory, self._on_restart)
        self._supervised[name] = supervised
        self.spawn(supervised.run())

    def is_down(self, name: str) -> bool:
        """Tell whether a supervised task fails again and again.

        :param name: name of the task.
        """
        supervised = self._supervised.get(name)
        return supervised is not None and supervised.is_down

    def any_down(self, names: Iterable[str]) -> bool:
        """Tell whether any of some supervised tasks is down.

        :param names: names of the tasks.
        """
        return any(self.is_down(name) for name in names)

    def names_down(self) -> tuple[str, ...]:
        """Return the names of the supervised tasks that are down."""
        return tuple(name for name in self._supervised if self.is_down(name))

    def count_down(self) -> int:
        """Return how many supervised tasks are down."""
        return len(self.names_down())

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


def _ignore_restart(_name: str) -> None:
    """Count no restart."""


def _report_failure(task: asyncio.Task[Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.opt(exception=task.exception()).error('background task failed')
