"""Tells from the time that a caller has left how long it has been asking.

The load pattern that this answers: in an overload a third of the requests
have been refused before. They come back with less time left than the others
of their route, and their objective has mostly passed, so they must not take
a slot from a request that can still be in time.
"""

import collections

#: Times are compared in steps of this length, in seconds.
STEP_S = 0.01
#: Requests after which older ones count half.
HALVING_COUNT = 400
#: Callers of a route have the same time left at first, if this part of all
#: requests is within so many steps of the most frequent one: a third of the
#: requests in an overload come back.
ALIKE_PART = 0.35
ALIKE_STEPS = 3
#: Otherwise each caller chose its own time. Those that have less than all but
#: this part of the others have been asking before.
LEAST_PART = 0.1


class CallerElapsedEstimator:
    """The time that the callers of one route usually have left."""

    def __init__(self) -> None:
        self._counts: collections.Counter[int] = collections.Counter()
        self._total = 0

    def elapsed_s(self, left_s: float) -> float:
        """Count a request and return how long its caller has been asking.

        :param left_s: time that the caller has left, in seconds.
        """
        step = round(left_s / STEP_S)
        self._counts[step] += 1
        self._total += 1
        if self._total > HALVING_COUNT:
            self._halve()
        return max(self._usual() - step, 0) * STEP_S

    def _usual(self) -> int:
        """Return the least time left, in steps, that a first request has."""
        most, _ = self._counts.most_common(1)[0]
        alike = sum(
            self._counts[step]
            for step in range(most - ALIKE_STEPS, most + ALIKE_STEPS + 1)
        )
        if alike >= ALIKE_PART * self._total:
            return most
        below = 0
        for step in sorted(self._counts):
            below += self._counts[step]
            if below > LEAST_PART * self._total:
                return step
        return most

    def _halve(self) -> None:
        self._counts = collections.Counter(
            {step: count // 2 for step, count in self._counts.items()},
        )
        self._counts += collections.Counter()
        self._total = sum(self._counts.values())
