"""Limits how quickly the requests of a region change the region they run in.

Once the demand of a region exceeds the capacity of its targets, another
region may answer most requests sooner, and once the demand falls again, its
own targets do. Without a limit, all requests shift at once and hit targets
that have not cached their objects. The share of each region therefore grows
slowly above its recent average, on the way out and on the way back.
"""

import collections
import math
from collections.abc import Iterator
from typing import Self

from .region_shares import RegionShares

#: Length of each of the two consecutive windows that the limit compares, in
#: seconds.
WINDOW_S = 2.0
#: Fraction of the configured limit that is used. The margin covers that
#: requests reach targets in another order than they are granted.
USED_LIMIT_FRACTION = 0.75
#: Distance that a share may have at once from its recent average, as a
#: fraction of the configured limit. A share that grows as quickly as it may is
#: ahead of its average by the growth in ``AVERAGED_S``.
HEADROOM_FRACTION = 0.45
#: Time over which requests are averaged, in seconds.
AVERAGED_S = 1.0
#: Requests by which a share may run ahead of its cap.
MAX_CREDIT_REQUESTS = 2.0
#: With fewer requests in the average, the limit does not apply.
MIN_AVERAGED_REQUESTS = 5.0
#: Until the limit applies, this many requests are taken to have run in the own
#: region. Their weight fades like that of others.
ASSUMED_REQUESTS = 40.0
#: A loss of capacity raises the limit for this long, in seconds.
LOSS_KEPT_S = 8.0

#: Stands for all other regions together.
_ELSEWHERE = '*'


class _ShareCap:
    """Upper bound of the share of the requests that may run in a region.

    :param share: the first bound, as a fraction.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        #: Requests that may run there before the share exceeds the bound.
        self.credit = min(share, 1) * MAX_CREDIT_REQUESTS


class RegionShiftLimiter:
    """Limits the shift of the requests of one region.

    :param limit: largest fraction of the requests that may change their
        region from one window to the next.
    """

    def __init__(self, limit: float) -> None:
        #: Where the requests ran, for reports.
        self.counts = RegionShares()
        # A share that grows steadily grows by the limit from one window to
        # the next.
        self._growth_per_s = limit * USED_LIMIT_FRACTION / WINDOW_S
        self._headroom = limit * HEADROOM_FRACTION
        self._caps: dict[str, _ShareCap] = {}
        self._averaged: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )
        self._assumed = ASSUMED_REQUESTS
        self._averaged_at = float(0)
        self._lost_fraction = float(0)
        self._lost_at = float('-inf')

    @classmethod
    def unlimited(cls) -> Self:
        """Return a limiter that allows all shifts."""
        return cls(float('inf'))

    def record_loss(self, now: float, fraction: float) -> None:
        """Record that targets of the region are lost.

        Their requests must run in other regions at once.

        :param now: monotonic time in seconds.
        :param fraction: lost fraction of the region's own slots.
        """
        self._lost_fraction = max(self.lost_fraction(now), fraction)
        self._lost_at = now

    def lost_fraction(self, now: float) -> float:
        """Return by how much a recent loss raises the limit.

        :param now: monotonic time in seconds.
        """
        return self._lost_fraction if now - self._lost_at < LOSS_KEPT_S else 0

    def count(self, now: float, region: str, home: str) -> None:
        """Count a request that is sent to a target.

        :param now: monotonic time in seconds.
        :param region: region of the target.
        :param home: region of the callers.
        """
        self.counts.count(now, region)
        self._advance(now, home)
        used = [self._cap(key, home) for key in _cap_keys(region, home)]
        lost_fraction = self.lost_fraction(now)
        for cap in self._caps.values():
            cap.credit = min(
                cap.credit + cap.share + lost_fraction, MAX_CREDIT_REQUESTS
            )
        for used_cap in used:
            used_cap.credit = max(used_cap.credit - 1, -1)
        self._averaged[region] += 1

    def allows(self, now: float, region: str, home: str) -> bool:
        """Tell whether one more request may run in a region.

        :param now: monotonic time in seconds.
        :param region: the region.
        :param home: region of the callers. Without earlier requests, all of
            them are taken to have run there.
        """
        self._advance(now, home)
        return not self._is_averaged() or all(
            self._cap(key, home).credit > 0 for key in _cap_keys(region, home)
        )

    def _is_averaged(self) -> bool:
        """Tell whether there are enough requests for an average."""
        return sum(self._averaged.values()) >= MIN_AVERAGED_REQUESTS

    def _cap(self, key: str, home: str) -> _ShareCap:
        cap = self._caps.get(key)
        if cap is None:
            cap = _ShareCap(self._average_share(key, home) + self._headroom)
            self._caps[key] = cap
        return cap

    def _advance(self, now: float, home: str) -> None:
        """Let averages fade and caps grow until the present time."""
        passed_s = max(now - self._averaged_at, 0)
        if not passed_s:
            return
        self._averaged_at = now
        remaining = math.exp(-passed_s / AVERAGED_S)
        self._assumed *= remaining
        for region in self._averaged:
            self._averaged[region] *= remaining
        if not self._is_averaged():
            self._assumed = ASSUMED_REQUESTS
        for key, cap in self._caps.items():
            average = self._average_share(key, home)
            grown = cap.share + self._growth_per_s * passed_s
            # Requests that had no other place may have exceeded the cap; it
            # does not send them back.
            cap.share = max(average, min(grown, average + self._headroom))

    def _average_share(self, key: str, home: str) -> float:
        """Return the average share of a region or of all others."""
        total = sum(self._averaged.values()) + self._assumed
        at_home = self._averaged[home] + self._assumed
        if key == home:
            return at_home / total
        if key == _ELSEWHERE:
            return 1 - at_home / total
        return self._averaged[key] / total


def _cap_keys(region: str, home: str) -> Iterator[str]:
    """Yield what a request that runs in a region counts against."""
    yield region
    if region != home:
        yield _ELSEWHERE
