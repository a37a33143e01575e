"""Counts the requests that exceed the limit of an emulated target."""

import collections

#: Time that instances have to react to the first answer with a limit, in
#: seconds.
REACTION_S = 4.0
#: Length of the windows in which requests are counted, in seconds.
WINDOW_S = 4.0
#: Requests that are tolerated in a window: a multiple of the limit, and some
#: more.
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5


class LimitedArrivals:
    """Arrivals at one target while it names a limit."""

    def __init__(self) -> None:
        #: Requests beyond the tolerated ones.
        self.excess = 0
        self._named_at = float('inf')
        self._recent: collections.deque[float] = collections.deque()

    def count(self, now: float, limit_per_s: float | None) -> None:
        """Count a request that reaches the target.

        :param now: simulated time, in seconds.
        :param limit_per_s: the limit in force, in requests per second; None
            for no limit.
        """
        if limit_per_s is None:
            self._named_at = float('inf')
            self._recent.clear()
            return
        self._named_at = min(self._named_at, now)
        if now < self._named_at + REACTION_S:
            return
        self._recent.append(now)
        while self._recent[0] <= now - WINDOW_S:
            self._recent.popleft()
        tolerated = TOLERATED_FACTOR * limit_per_s * WINDOW_S
        self.excess += len(self._recent) > tolerated + TOLERATED_REQUESTS
