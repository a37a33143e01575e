"""Notices that the process, or its machine, has stood still.

What is read right after a standstill may have waited in a socket all the
while, and whoever sent it may have gone on to another instance.
"""

import asyncio
import collections
import time
from collections.abc import Callable

#: Interval between two ticks, in seconds.
TICK_S = 0.1
#: The process stood still if it was late by more than this, in seconds. With
#: one interval, less than the time after which operators try another instance.
STALL_S = 0.7
#: Turns of the event loop in which a connection is accepted, its request read
#: and handled, with the one that goes on as it arrives. A turn has one tick at
#: most.
READ_TURNS = 6
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

    Several turns that are late hold up a request as one standstill does.

    :param now: returns the time in seconds, suspensions included.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._ticked_at = now()
        self._stalled_at = float('-inf')
        #: By how much the last ticks were late, in seconds.
        self._delays_s: collections.deque[float] = collections.deque(
            maxlen=READ_TURNS - 1
        )

    @property
    def is_recent(self) -> bool:
        """Whether received data may have waited through a standstill."""
        # Data may be read before the tick that shows the standstill.
        self._check()
        return self._now() - self._stalled_at < CATCH_UP_S

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self._delays_s.append(max(self._check(), 0))
            self._ticked_at = self._now()
            await asyncio.sleep(TICK_S)

    def _check(self) -> float:
        """Note a standstill; return by how much the next tick is late."""
        now = self._now()
        delay_s = now - self._ticked_at - TICK_S
        # A tick that is hardly late is no part of a standstill.
        if delay_s > TICK_S and sum(self._delays_s) + delay_s > STALL_S:
            self._stalled_at = now
        return delay_s
