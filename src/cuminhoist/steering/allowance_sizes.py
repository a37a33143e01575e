"""Divides a workspace's allowance and the tolerated excess into buckets.

In a window of ``window_s``, all instances together may send targets at most
``(rate x window + burst) x (1 + over) + slack`` requests of a workspace. The
buckets of the regions hold ``rate`` and ``burst`` by their shares, which sum
to at most 1. What is tolerated beyond that covers what shares can't:

- each region has a small rate and a depth of its own whatever its share is,
  so that callers that turn up in another region are served until the share
  has followed them, and so that small workspaces, whose share of the burst is
  less than one request, are served in each region;
- a dispatcher that starts, and an entry instance that starts to decide
  itself, has some tokens;
- an entry instance that is cut off for long keeps a small rate.

Each of these is bounded by a part of the excess, and the parts sum to at most
the excess, so that the bound holds by construction.
"""

import msgspec

from .allowances import BucketSize

#: Part of ``over`` that is the rate of the regions beyond their shares,
#: together. The rest is needed as depth.
_REGION_RATE = 0.3
#: Part of ``over`` that entry instances that are cut off for long may use.
_CUT_OFF_RATE = 0.1
#: Parts of the remaining excess: depth of the dispatchers' buckets, tokens of
#: starting dispatchers, and tokens of entry instances that start to decide.
_DEPTH = 0.55
_DISPATCHER_START = 0.2
_ENTRY_START = 0.25
#: Bounds on the time constant of the measured demand, in seconds. A shorter
#: one follows single requests, and a longer one is slower than the exchange.
_MIN_SMOOTHING_S = 0.1
_MAX_SMOOTHING_S = 1.0
#: Difference in time after which the two ends of a silent link notice that it
#: has ended, in seconds; the silence limit of links, rounded up.
_NOTICE_S = 2.0


class Allowance(msgspec.Struct, frozen=True):
    """What a workspace may send.

    :param rate_per_s: requests a second.
    :param burst: requests beyond that rate.
    """

    rate_per_s: float
    burst: float


class AllowanceBounds(msgspec.Struct, frozen=True):
    """The tolerated excess.

    :param window_s: length of the window, in seconds.
    :param over: tolerated fraction beyond rate and burst.
    :param slack: requests tolerated beyond that.
    """

    window_s: float = 5
    over: float = 0.1
    slack: float = 20

    @property
    def absent_s(self) -> float:
        """How long an entry instance that is gone counts, in seconds.

        One that is cut off uses its part of a share for a window, and notices
        up to two seconds later than its dispatcher that the link has ended.
        """
        return self.window_s + _NOTICE_S

    def depth(self, allowance: Allowance) -> float:
        """Return the excess in a window that no rate uses, in requests.

        :param allowance: allowance of the workspace.
        """
        in_window = allowance.rate_per_s * self.window_s
        used = (_REGION_RATE + _CUT_OFF_RATE) * in_window
        return self.over * (in_window + allowance.burst - used) + self.slack


class AllowanceSizes(msgspec.Struct, frozen=True):
    """Computes the sizes of buckets in one deployment.

    :param region_count: number of regions.
    :param bounds: the tolerated excess.
    """

    region_count: int
    bounds: AllowanceBounds = AllowanceBounds()

    def dispatcher_size(self, allowance: Allowance, share: float) -> BucketSize:
        """Return the size of a bucket of a region's dispatcher.

        :param allowance: allowance of the workspace.
        :param share: share that the dispatcher decides on, from 0 to 1.
        """
        bounds = self.bounds
        depth = bounds.depth(allowance) / self.region_count
        region_rate = bounds.over * _REGION_RATE / self.region_count
        smoothing_s = _DEPTH * depth / max(allowance.rate_per_s, 1)
        return BucketSize(
            allowance.rate_per_s * (share + region_rate),
            capacity=allowance.burst * share + _DEPTH * depth,
            start=_DISPATCHER_START * depth,
            smoothing_s=min(
                max(smoothing_s, _MIN_SMOOTHING_S), _MAX_SMOOTHING_S
            ),
            start_interval_s=bounds.window_s,
        )

    def entry_size(
        self,
        allowance: Allowance,
        share: float,
        entry_count: int,
        *,
        cut_off: bool,
    ) -> BucketSize:
        """Return the size of a bucket of an entry instance that decides.

        A bucket must hold one request to admit any.

        :param allowance: allowance of the workspace.
        :param share: share of the region, from 0 to 1.
        :param entry_count: number of entry instances of the region.
        :param cut_off: whether it has been cut off for so long that others
            may use its part of the share.
        """
        bounds = self.bounds
        depth = bounds.depth(allowance) / self.region_count
        if cut_off:
            share = bounds.over * _CUT_OFF_RATE / self.region_count
        part = share / entry_count
        start = _ENTRY_START * depth / entry_count
        return BucketSize(
            allowance.rate_per_s * part,
            capacity=max(allowance.burst * part + start, 1),
            start=start,
            start_interval_s=bounds.window_s,
        )
