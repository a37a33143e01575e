"""Learns how the run times of a service differ between kinds of request.

Load pattern: one service runs kinds of unlike length, and tests of the
configuration that end at once. With one average for all of them, long runs
look like cache misses, and the estimates of waits and answers are wrong.
"""

import math

import msgspec

#: Least weight of a new observation.
SMOOTHING = 0.05
#: Number of kinds that are kept; requests of further ones count as average.
MAX_KINDS = 512


class _Factor(msgspec.Struct):
    """Ratio of one kind to the average, and how often it was observed."""

    ratio: float = 1
    count: int = 0


class WorkFactors:
    """Run times of each kind of request, relative to the service's average."""

    def __init__(self) -> None:
        self._factors: dict[str, _Factor] = {}

    def of(self, kind: str) -> float:
        """Return the ratio of a kind's run times to the average.

        :param kind: the kind of request; empty if unknown.
        """
        factor = self._factors.get(kind)
        return factor.ratio if factor is not None else 1

    def learn(
        self, kind: str, run_s: float, averages_s: tuple[float, float]
    ) -> None:
        """Add a run time.

        It counts as a cache hit or a cache miss, whichever agrees better with
        the ratio so far. What was expected does not matter: a dispatcher that
        has just taken over expects cache misses and sees hits.

        :param kind: the kind of request; empty if unknown.
        :param run_s: the run time, in seconds.
        :param averages_s: run times of the service after a cache hit and
            after a cache miss, in seconds.
        """
        if not kind or run_s <= 0 or min(averages_s) <= 0:
            return
        factor = self._factors.get(kind)
        if factor is None:
            if len(self._factors) >= MAX_KINDS:
                return
            factor = _Factor()
            self._factors[kind] = factor
        known = factor.ratio
        ratio = min(
            (run_s / average for average in averages_s),
            key=lambda observed: abs(math.log(observed / known)),
        )
        factor.count += 1
        weight = max(SMOOTHING, 1 / factor.count)
        factor.ratio += weight * (ratio - factor.ratio)
