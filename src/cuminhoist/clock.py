"""Time sources."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic and wall-clock time."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return monotonic time in seconds."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return Unix time in seconds, for display and announced drains."""


class SystemClock(Clock):
    """The clock of the operating system."""

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return time.time()


class ManualClock(Clock):
    """A clock that moves only when told, for tests and simulations.

    :param start: first monotonic reading in seconds.
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

        :param seconds: how far to move.
        """
        self._now += seconds
