"""Measures how fast a queue is emptied by dispatches.

The rate is an exponentially weighted average over the time in which requests
were queued; idle time does not lower it.
"""

import math

#: Time constant of the average, in seconds with queued requests.
RATE_WINDOW_S = 2.0
#: No rate is given before requests were queued for this long.
MIN_BUSY_S = 0.1
#: No rate is given for fewer dispatches: until the first slots are released
#: it would be zero, and every request would be refused.
MIN_DISPATCHES = 5


class DequeueRate:
    """Average rate at which queued requests are dispatched.

    :param now: monotonic time.
    """

    def __init__(self, now: float) -> None:
        self._updated_at = now
        self._cost = float(0)
        self._busy_s = float(0)
        self._dispatch_count = 0

    def advance(self, now: float, busy: bool) -> None:
        """Account for the time since the last call.

        :param now: monotonic time.
        :param busy: whether requests were queued all that time.
        """
        if busy:
            elapsed = now - self._updated_at
            decay = math.exp(-elapsed / RATE_WINDOW_S)
            self._cost *= decay
            self._busy_s = self._busy_s * decay + elapsed
        self._updated_at = now

    def count_dispatch(self, cost: float) -> None:
        """Count a queued request that was dispatched.

        :param cost: weight of the request.
        """
        self._cost += cost
        self._dispatch_count += 1

    @property
    def per_s(self) -> float | None:
        """Cost dispatched per second; None while it is not known."""
        if self._busy_s < MIN_BUSY_S or self._dispatch_count < MIN_DISPATCHES:
            return None
        return self._cost / self._busy_s
