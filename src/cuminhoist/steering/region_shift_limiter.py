"""Limits how quickly requests of a region shift to other regions.

Once the demand of a region exceeds the capacity of its targets, another
region may answer most requests sooner. Without a limit, all of them shift at
once and hit targets that have not cached their objects. The limit is
suspended while the region's own targets fail, because then there is no
other place for the requests.
"""

import collections
from typing import Self

import msgspec

#: Length of each of the two consecutive windows that are compared, in
#: seconds.
WINDOW_S = 2.0
#: Requests are counted in intervals of this length, in seconds.
INTERVAL_S = 0.25
#: Number of intervals in a window.
WINDOW_INTERVALS = round(WINDOW_S / INTERVAL_S)
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


class _WindowCounts(msgspec.Struct, frozen=True):
    """Counts of the requests within several intervals."""

    total: int = 0
    shifted: int = 0

    def plus(self, interval: _IntervalCounts) -> Self:
        """Return the counts with one more interval."""
        return type(self)(
            self.total + interval.total, self.shifted + interval.shifted
        )

    def minus(self, other: Self) -> Self:
        """Return the counts without the first intervals."""
        return type(self)(
            self.total - other.total, self.shifted - other.shifted
        )


class RegionShiftLimiter:
    """Limits the shift of the requests of one region.

    The limit holds for any two consecutive windows, not only for those that
    end now: shifts after a burst of other requests are a small fraction of
    the last two seconds, but a large one of the window that begins after the
    burst.

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
        oldest = number - 2 * WINDOW_INTERVALS
        while self._intervals[0].number < oldest:
            self._intervals.popleft()

    def is_suspended(self, now: float) -> bool:
        """Tell whether a recent disturbance suspends the limit.

        :param now: monotonic time in seconds.
        """
        return now - self._disturbed_at < DISTURBED_S

    def allows_shift(self, now: float) -> bool:
        """Tell whether one more request may shift to another region.

        :param now: monotonic time in seconds.
        """
        if self.is_suspended(now):
            return True
        # Counts before each of the last intervals, the present one included.
        before = self._counts_before_intervals(int(now / INTERVAL_S))
        return all(
            self._allows_shift_between(
                before[start].minus(before[start - WINDOW_INTERVALS]),
                before[-1].minus(before[start]),
            )
            for start in range(WINDOW_INTERVALS, 2 * WINDOW_INTERVALS)
        )

    def _counts_before_intervals(self, last: int) -> list[_WindowCounts]:
        intervals = {interval.number: interval for interval in self._intervals}
        before = [_WindowCounts()]
        for number in range(last - 2 * WINDOW_INTERVALS + 1, last + 1):
            interval = intervals.get(number)
            before.append(before[-1].plus(interval) if interval else before[-1])
        return before

    def _allows_shift_between(
        self, previous: _WindowCounts, current: _WindowCounts
    ) -> bool:
        """Tell whether one more request may shift in the current window.

        :param previous: counts of the previous window.
        :param current: counts of the current window so far; it is taken to
            get as many requests as the previous one.
        """
        total = current.total + 1
        if previous.total + total <= MIN_REQUESTS:
            return True
        # Without requests in the previous window, the previous fraction is 0,
        # as if all requests had stayed in the region.
        previous_fraction = previous.shifted / max(previous.total, 1)
        allowed = (previous_fraction + self._limit) * max(total, previous.total)
        return current.shifted + 1 <= allowed
