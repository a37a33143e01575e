"""Sources of time, so that tests and simulations can replace the clock."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic and wall-clock time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return monotonic time in seconds."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return Unix time in seconds, for output and announced drains."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()


class ManualClock(Clock):
    """A clock that only :meth:`advance` moves, for tests and simulations.

    :param start: first reading of both times, in seconds.
    """

    def __init__(self, start: float = 1000) -> None:
        self._now = start

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        :param seconds: seconds to add.
        """
        self._now += seconds
