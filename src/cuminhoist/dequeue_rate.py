"""Measured drain rate of a queue."""

import math

#: The drain rate is measured over about this time of a queue in use.
DRAIN_S = 2.0
#: No estimate is made before the queue was in use for this time.
MIN_DRAIN_S = 0.1
#: No estimate is made from fewer dispatches: before the first slots come
#: back, nothing is known, and the rate must not be taken for zero.
MIN_DISPATCHES = 5


class DequeueRate:
    """Measures how fast a queue drains while it is in use.

    :param now: monotonic time.
    """

    def __init__(self, now: float) -> None:
        self._at = now
        self._cost = float(0)
        self._busy_s = float(0)
        self._dispatches = 0

    def pass_time(self, now: float, busy: bool) -> None:
        """Note the time since the last call.

        :param now: monotonic time.
        :param busy: whether requests were waiting all that time.
        """
        if busy:
            elapsed = now - self._at
            fade = math.exp(-elapsed / DRAIN_S)
            self._cost *= fade
            self._busy_s = self._busy_s * fade + elapsed
        self._at = now

    def add(self, cost: float) -> None:
        """Note that a waiting request was dispatched.

        :param cost: weight of the request.
        """
        self._cost += cost
        self._dispatches += 1

    @property
    def per_s(self) -> float | None:
        """Cost dispatched a second, or None if it is not known yet."""
        if self._busy_s < MIN_DRAIN_S or self._dispatches < MIN_DISPATCHES:
            return None
        return self._cost / self._busy_s
