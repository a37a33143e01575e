"""Counts in which regions the requests of one region run."""

import collections
from collections.abc import Mapping

#: Requests are counted in intervals of this length, in seconds.
INTERVAL_S = 0.25
#: Counts are kept for this long, in seconds.
KEPT_S = 5.0

RegionCounts = collections.Counter[str]


class RegionShares:
    """Counts the requests of one region by the region in which they run."""

    def __init__(self) -> None:
        self._intervals: dict[int, RegionCounts] = {}

    def count(self, now: float, region: str) -> None:
        """Count a request that is sent to a target.

        :param now: monotonic time in seconds.
        :param region: region of the target.
        """
        number = int(now / INTERVAL_S)
        if number not in self._intervals:
            self._intervals[number] = collections.Counter()
            self._drop_before(number - int(KEPT_S / INTERVAL_S))
        self._intervals[number][region] += 1

    def between(self, start: float, end: float) -> RegionCounts:
        """Return the counts from the interval of one time to that of another.

        :param start: monotonic time in seconds; its interval is included.
        :param end: monotonic time in seconds; its interval is left out.
        """
        return self.in_intervals(int(start / INTERVAL_S), int(end / INTERVAL_S))

    def in_intervals(self, first: int, end: int) -> RegionCounts:
        """Return the counts of some intervals.

        :param first: number of the first interval.
        :param end: number of the interval after the last one.
        """
        total: RegionCounts = collections.Counter()
        for number in range(first, end):
            for region, count in self._intervals.get(number, {}).items():
                total[region] += count
        return total

    def _drop_before(self, oldest: int) -> None:
        for number in list(self._intervals):
            if number < oldest:
                self._intervals.pop(number)


def shares(counts: Mapping[str, int]) -> dict[str, float]:
    """Return the fraction of the requests that ran in each region.

    :param counts: number of requests by region.
    """
    total = max(sum(counts.values()), 1)
    return {region: count / total for region, count in counts.items()}


def changed_fraction(
    before: Mapping[str, int], after: Mapping[str, int]
) -> float:
    """Return which fraction of the requests changed the region they run in.

    :param before: number of requests by region in one window.
    :param after: number of requests by region in a later window.
    """
    earlier = shares(before)
    return sum(
        max(share - earlier.get(region, 0), 0)
        for region, share in shares(after).items()
    )
