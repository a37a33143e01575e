"""Estimates how long ago a caller sent its first request.

During an overload, a third of the requests are retries of callers that were
refused before. A retry has less time left until its deadline than the first
requests of its route, and its objective has mostly passed. It must not take
a slot from a request that can still meet its objective.
"""

import collections

#: Bucket width of the histogram of remaining times, in seconds.
STEP_S = 0.01
#: Number of requests after which all counts are halved, so that a changed
#: deadline replaces the old one.
HALVING_COUNT = 400
#: The first requests of a route are taken to have equal deadlines if this
#: fraction of all requests lies within ALIKE_STEPS of the most frequent
#: step. It is far below 1 because a third of the requests in an overload are
#: retries.
ALIKE_FRACTION = 0.35
ALIKE_STEPS = 3
#: Otherwise each caller chose its own deadline. The fraction of requests with
#: the least time left is then taken to be retries.
LOWEST_FRACTION = 0.1


class CallerElapsedEstimator:
    """Learns the remaining time of first requests of one route."""

    def __init__(self) -> None:
        self._counts: collections.Counter[int] = collections.Counter()
        self._total = 0

    def elapsed_s(self, left_s: float) -> float:
        """Count a request and return the time since its caller's first one.

        :param left_s: time until the deadline of the request, in seconds.
        :returns: estimate in seconds; 0 for a first request.
        """
        step = round(left_s / STEP_S)
        self._counts[step] += 1
        self._total += 1
        if self._total > HALVING_COUNT:
            self._halve()
        return max(self._first_request_step() - step, 0) * STEP_S

    def _first_request_step(self) -> int:
        """Return the least remaining time of a first request, in steps."""
        most_frequent, _ = self._counts.most_common(1)[0]
        near_most_frequent = sum(
            self._counts[step]
            for step in range(
                most_frequent - ALIKE_STEPS, most_frequent + ALIKE_STEPS + 1
            )
        )
        if near_most_frequent >= ALIKE_FRACTION * self._total:
            return most_frequent
        count_below = 0
        for step in sorted(self._counts):
            count_below += self._counts[step]
            if count_below > LOWEST_FRACTION * self._total:
                return step
        return most_frequent

    def _halve(self) -> None:
        self._counts = collections.Counter(
            {step: count // 2 for step, count in self._counts.items()},
        )
        self._counts += collections.Counter()
        self._total = sum(self._counts.values())
