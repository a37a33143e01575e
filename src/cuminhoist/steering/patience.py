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


class Patience:
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
        usual, _ = self._counts.most_common(1)[0]
        return max(usual - step, 0) * STEP_S

    def _halve(self) -> None:
        self._counts = collections.Counter(
            {step: count // 2 for step, count in self._counts.items()},
        )
        self._counts += collections.Counter()
        self._total = sum(self._counts.values())
