"""Keeps the allowances of one region: its buckets, and its share of each.

A region whose bucket of a workspace runs low asks the others at once, and
those give what they do not need themselves, so that callers may turn up in
any region: a share follows them within a round trip.
"""

import math
from collections.abc import Iterable, Mapping

import msgspec

from .allowance_shares import (
    WHOLE,
    ShareLedger,
    ShareRequest,
    ShareTransfer,
    parts_to_give,
)
from .allowance_sizes import Allowance, AllowanceSizes
from .allowances import Allowances, Bucket, BucketSize

#: A region asks for a larger share as soon as its bucket is filled below this
#: fraction: the rest lasts until the answer of another region arrives.
LOW_FRACTION = 0.75
#: Ratio of the share that a region asks for to the one that its measured
#: demand needs. A share that only equals the demand asks again at each rise.
HEADROOM = 2.0
#: Smaller changes of a share are not sent, as a fraction of the allowance:
#: demands are measured no better, and each change is a message.
MIN_CHANGE = 0.01
#: Least time between two requests for a share of one workspace, in seconds;
#: about a round trip between regions.
MIN_REQUEST_INTERVAL_S = 0.08
#: The interval doubles up to this one while nothing is given, in seconds: a
#: workspace over its limit everywhere causes two messages a second.
MAX_REQUEST_INTERVAL_S = 0.5


class _Asked(msgspec.Struct):
    """When a region may ask for a share of a workspace again.

    :param due_at: monotonic time in seconds.
    :param interval_s: time between two requests, in seconds.
    """

    due_at: float = float('-inf')
    interval_s: float = MIN_REQUEST_INTERVAL_S


class RegionAllowances:
    """Allowances as the dispatcher of one region keeps them.

    :param region: name of the region.
    :param regions: names of all regions.
    :param sizes: computes the sizes of buckets.
    :param buckets: the buckets of the dispatcher.
    """

    def __init__(
        self,
        region: str,
        regions: Iterable[str],
        sizes: AllowanceSizes,
        buckets: Allowances,
    ) -> None:
        self.ledger = ShareLedger(regions)
        self._region = region
        self._sizes = sizes
        self._buckets = buckets
        self._limits: Mapping[str, Allowance] = {}
        self._linked_fraction = float(1)
        self._is_suspended = False
        # Parts of entry instances that are not linked, by workspace.
        self._unlinked_parts: dict[str, int] = {}
        self._asked: dict[str, _Asked] = {}
        # Regions of which an instance has told all transfers that it knows.
        self._heard = {region}
        self._knows_transfers = self._heard == self.ledger.regions

    @property
    def knows_transfers(self) -> bool:
        """Whether this instance knows what its region has given away.

        Until then the region's share counts as 0. A replacement knows it once
        an instance of its region, or of each other region, has told it.
        """
        return self._knows_transfers

    def share(self, workspace: str) -> float:
        """Return this region's share of an allowance, from 0 to 1.

        :param workspace: name of the workspace.
        """
        if not self._knows_transfers:
            return 0
        return self.ledger.parts(workspace, self._region) / WHOLE

    def own_parts(self, workspace: str) -> int:
        """Return what the dispatcher may decide on or give away, in parts.

        Entry instances that are not linked decide on the rest of the share.

        :param workspace: name of the workspace.
        """
        if not self._knows_transfers or self._is_suspended:
            return 0
        parts = self.ledger.parts(workspace, self._region)
        unlinked = self._unlinked_parts.get(workspace, 0)
        return max(parts - unlinked, 0)

    def apply_limits(
        self,
        limits: Mapping[str, Allowance],
        linked_fraction: float,
        now: float,
    ) -> None:
        """Put the limits of the configuration in force.

        :param limits: allowances of the workspaces that have a limit.
        :param linked_fraction: fraction of the region's entry instances that
            are linked to the dispatcher.
        :param now: monotonic time in seconds.
        """
        if limits == self._limits and linked_fraction == self._linked_fraction:
            return
        self._limits = limits
        self._keep_unlinked_parts(linked_fraction)
        self._resize_all(now)

    def keep(self, now: float, interval_s: float, *, decides: bool) -> None:
        """Record that this process runs.

        :param now: monotonic time in seconds.
        :param interval_s: time until the next call, in seconds.
        :param decides: whether it is the dispatcher of its region. Others
            start without what they could have saved up.
        """
        self._buckets.keep(now, interval_s)
        if not decides:
            self._buckets.restart(now)

    def suspend(self, now: float, *, is_suspended: bool) -> None:
        """Stop to use the share of the region, or use it again.

        :param now: monotonic time in seconds.
        :param is_suspended: whether another instance may use it.
        """
        if is_suspended != self._is_suspended:
            self._is_suspended = is_suspended
            self._resize_all(now)

    def hear_all(
        self,
        region: str,
        transfers: Iterable[ShareTransfer],
        now: float,
        *,
        knows_transfers: bool,
    ) -> None:
        """Apply all transfers that another instance knows.

        :param region: region of the other instance.
        :param transfers: the transfers.
        :param now: monotonic time in seconds.
        :param knows_transfers: whether it knows all transfers of its region.
        """
        self.apply(transfers, now)
        if region != self._region:
            self._heard.add(region)
        if self._knows_transfers:
            return
        is_told = region == self._region and knows_transfers
        if is_told or self._heard == self.ledger.regions:
            self._knows_transfers = True
            self._resize_all(now)

    def apply(self, transfers: Iterable[ShareTransfer], now: float) -> None:
        """Apply transfers between regions.

        :param transfers: the transfers, new or repeated.
        :param now: monotonic time in seconds.
        """
        for transfer in transfers:
            follows = self.ledger.follows(transfer)
            if not self.ledger.apply(transfer):
                continue
            self._resize(transfer.workspace, now)
            if transfer.receiver != self._region:
                continue
            self._asked.pop(transfer.workspace, None)
            bucket = self._buckets.find(transfer.workspace)
            if bucket is not None and follows:
                bucket.add(transfer.tokens, now)

    def request(self, workspace: str, now: float) -> ShareRequest | None:
        """Return a request for a larger share if it is needed and due.

        :param workspace: workspace of a request that has arrived.
        :param now: monotonic time in seconds.
        """
        bucket = self._buckets.find(workspace)
        if bucket is None or not self._knows_transfers:
            return None
        if bucket.tokens(now) >= LOW_FRACTION * bucket.size.capacity:
            return None
        asked = self._asked.get(workspace)
        if asked is None:
            asked = self._asked.setdefault(workspace, _Asked())
        if now < asked.due_at:
            return None
        request = self._build_request(workspace, bucket, now)
        if request is not None:
            asked.due_at = now + asked.interval_s
            asked.interval_s = min(2 * asked.interval_s, MAX_REQUEST_INTERVAL_S)
        return request

    def answer(self, request: ShareRequest, now: float) -> ShareTransfer | None:
        """Give another region what it needs more than this one.

        :param request: request of the other region.
        :param now: monotonic time in seconds.
        :returns: the transfer to send; None if nothing is given.
        """
        self._buckets.check_gap(now)
        bucket = self._buckets.find(request.workspace)
        if (
            bucket is None
            or not self._knows_transfers
            or request.region not in self.ledger.regions - {self._region}
        ):
            return None
        own = self.own_parts(request.workspace)
        parts = parts_to_give(request, own, bucket.demand_per_s(now))
        if parts < MIN_CHANGE * WHOLE:
            return None
        allowance = self._limits[request.workspace]
        # The burst that goes with the part, as far as it has been saved.
        tokens = min(
            max(bucket.tokens(now), 0) * parts / own,
            allowance.burst * parts / WHOLE,
        )
        bucket.add(-tokens, now)
        transfer = self.ledger.give(
            request.workspace, self._region, request.region, parts
        )
        self._resize(request.workspace, now)
        return msgspec.structs.replace(transfer, tokens=tokens)

    def _build_request(
        self, workspace: str, bucket: Bucket, now: float
    ) -> ShareRequest | None:
        demand_per_s = bucket.demand_per_s(now)
        rate_per_s = self._limits[workspace].rate_per_s
        share = self.ledger.parts(workspace, self._region)
        needed = HEADROOM * demand_per_s / rate_per_s if rate_per_s else 1
        wanted = int(min(needed, 1) * WHOLE)
        if wanted - share < MIN_CHANGE * WHOLE:
            return None
        return ShareRequest(
            workspace, self._region, round(demand_per_s, 2), share, wanted
        )

    def _keep_unlinked_parts(self, linked_fraction: float) -> None:
        """Leave out the parts of entry instances that are not linked.

        An instance that is cut off keeps the part that it had, also when the
        share of the region changes later.
        """
        unlinked = 1 - linked_fraction
        former = 1 - self._linked_fraction
        # Of those that were not linked before, these are left.
        left = min(unlinked / former, 1) if former > 0 else 0
        self._linked_fraction = linked_fraction
        self._unlinked_parts = {
            workspace: max(
                math.ceil(self._unlinked_parts.get(workspace, 0) * left),
                math.ceil(
                    self.ledger.parts(workspace, self._region) * unlinked
                ),
            )
            for workspace in (self._limits if unlinked else ())
        }

    def _size(self, workspace: str, allowance: Allowance) -> BucketSize:
        return self._sizes.dispatcher_size(
            allowance, self.own_parts(workspace) / WHOLE
        )

    def _resize(self, workspace: str, now: float) -> None:
        allowance = self._limits.get(workspace)
        if allowance is not None:
            size = self._size(workspace, allowance)
            self._buckets.set_size(workspace, size, now)

    def _resize_all(self, now: float) -> None:
        self._buckets.set_sizes(
            {
                workspace: self._size(workspace, allowance)
                for workspace, allowance in self._limits.items()
            },
            now,
        )
