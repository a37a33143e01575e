"""Notices that the process, or its machine, has stood still.

What is read right after a standstill may have waited in a socket all the
while, and whoever sent it may have gone on to another instance.
"""

import asyncio
import time
from collections.abc import Callable

#: Interval between two ticks, in seconds.
TICK_S = 0.1
#: The process stood still if a tick is this late, in seconds. Shorter than the
#: time after which operators try another instance.
STALL_S = 0.8
#: What was waiting in the sockets has been read this long after a standstill,
#: in seconds.
CATCH_UP_S = 1.0


def awake_and_suspended_s() -> float:
    """Return seconds of a clock that also runs while the machine is suspended.

    The monotonic clock of Linux stands still meanwhile.
    """
    clock = getattr(time, 'CLOCK_BOOTTIME', None)
    return time.monotonic() if clock is None else time.clock_gettime(clock)


class StallWatch:
    """Compares the times of ticks that should be evenly spaced.

    :param now: returns the time in seconds, suspensions included.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._ticked_at = now()
        self._stalled_at = float('-inf')

    @property
    def is_recent(self) -> bool:
        """Whether received data may have waited through a standstill."""
        # Data may be read before the tick that shows the standstill.
        self._check()
        return self._now() - self._stalled_at < CATCH_UP_S

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self._check()
            self._ticked_at = self._now()
            await asyncio.sleep(TICK_S)

    def _check(self) -> None:
        now = self._now()
        if now - self._ticked_at > STALL_S:
            self._stalled_at = now
