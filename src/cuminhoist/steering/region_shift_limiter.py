"""Limits how quickly requests of a region shift to other regions.

Once the demand of a region exceeds the capacity of its targets, another
region may answer most requests sooner. Without a limit, all of them shift at
once and hit targets that have not cached their objects. The limit is
suspended while the region's own targets fail, because then there is no
other place for the requests.
"""

import collections

#: Length of each of the two consecutive windows that are compared, in
#: seconds.
WINDOW_S = 2.0
#: Requests are counted in intervals of this length, in seconds.
INTERVAL_S = 0.25
#: Fraction of the configured limit that is used. The margin covers that
#: entry instances count their requests at slightly different times.
USED_LIMIT_FRACTION = 0.9
#: The limit applies only above this number of requests in both windows;
#: fewer are too few for a comparison.
MIN_REQUESTS = 20
#: The limit is suspended for this long after a disturbance of the region's
#: own targets, in seconds.
DISTURBED_S = 8.0


class _IntervalCounts:
    """Counts of the requests within one interval."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.total = 0
        self.shifted = 0


class RegionShiftLimiter:
    """Limits the shift of the requests of one region.

    :param limit: largest increase of the fraction of shifted requests from
        one window to the next.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit * USED_LIMIT_FRACTION
        self._intervals: collections.deque[_IntervalCounts] = (
            collections.deque()
        )
        self._disturbed_at = float('-inf')

    def record_disturbance(self, now: float) -> None:
        """Record that targets of the region fail, slow down or disappear.

        :param now: monotonic time in seconds.
        """
        self._disturbed_at = now

    def count_request(self, now: float, *, shifted: bool) -> None:
        """Count a request that was sent to a target.

        :param now: monotonic time in seconds.
        :param shifted: whether the target is in another region.
        """
        number = int(now / INTERVAL_S)
        if not self._intervals or self._intervals[-1].number != number:
            self._intervals.append(_IntervalCounts(number))
        self._intervals[-1].total += 1
        self._intervals[-1].shifted += shifted
        oldest = number - 2 * WINDOW_S / INTERVAL_S
        while self._intervals[0].number < oldest:
            self._intervals.popleft()

    def allows_shift(self, now: float) -> bool:
        """Tell whether one more request may shift to another region.

        :param now: monotonic time in seconds.
        """
        if now - self._disturbed_at < DISTURBED_S:
            return True
        previous_end = int((now - WINDOW_S) / INTERVAL_S)
        previous = [
            interval
            for interval in self._intervals
            if interval.number <= previous_end
        ]
        total = sum(interval.total for interval in previous)
        recent = [
            interval
            for interval in self._intervals
            if interval.number > previous_end
        ]
        recent_total = sum(interval.total for interval in recent) + 1
        if total + recent_total <= MIN_REQUESTS:
            return True
        # Without requests in the previous window, the previous fraction is 0,
        # as if all requests had stayed in the region.
        previous_fraction = sum(
            interval.shifted for interval in previous
        ) / max(total, 1)
        shifted = sum(interval.shifted for interval in recent) + 1
        return shifted / recent_total <= previous_fraction + self._limit
