"""Estimates when each target would answer a request.

A cache hit takes a third of the time of a cache miss, and no target can
cache all objects. If requests were spread evenly, targets would evict each
other's objects all the time and reach only half of their throughput. Each
object therefore has a fixed order of targets in each region. A request waits
for a target that has cached its object as long as this is faster than a
cache miss at another target.
"""

import collections
from collections.abc import Callable, Iterator

import msgspec

from .domain_preference import (
    DomainCapacity,
    DomainPreference,
    order_by_domain,
)
from .object_orders import RANK_COUNT, ObjectOrders
from .placement_options import Option
from .target_pauses import NO_PAUSES, TargetPauses
from .tracked_target import ObjectHolders, TrackedTarget

#: Added to the estimate for each rank in the order of an object's targets, as
#: a fraction of the run time after a cache hit. It decides between targets
#: that would be equally fast.
RANK_STEP_FRACTION = 0.14
#: Highest rank that counts for a target which holds the object.
MAX_HOLDER_RANK = 4
#: Panic mode: with a larger fraction of the targets ejected, ejection is
#: ignored, because the remaining targets could not carry the load.
PANIC_THRESHOLD_FRACTION = 0.5
#: With at most this many usable targets in a region, all are compared;
#: otherwise the holders of the object, its first ranks and a sample.
FULL_SCAN_COUNT = RANK_COUNT
#: Size of the sample in which a free slot is looked for.
SAMPLE_COUNT = 8
#: A target is hardly ever faster than expected by more than this factor.
MIN_RUN_TIME_FRACTION = 0.8
#: Interval at which ejected and disturbed targets are counted in a service
#: with many targets, in seconds.
HEALTH_INTERVAL_S = 0.1
#: Assumed hit fraction until the first requests show whether targets have
#: cached the objects for which they rank first.
INITIAL_PRESUMED_HIT_FRACTION = 0.2
#: Weight of a new observation in the presumed hit fractions.
PRESUMED_HIT_SMOOTHING = 0.05
#: Initial estimate of the cache capacity of a target, in objects, and its
#: range. An estimate that is too high makes answers late; one that is too low
#: sends requests to other targets.
INITIAL_CACHE_CAPACITY = 14.0
MIN_CACHE_CAPACITY = 6.0
MAX_CACHE_CAPACITY = 64.0
#: Change of the estimate after a hit in a full cache and after an unexpected
#: miss, in objects.
CACHE_CAPACITY_INCREASE = 0.02
CACHE_CAPACITY_DECREASE = 0.5


class RunTimes(msgspec.Struct):
    """Learned run times and cache behaviour of one service.

    :param hit_run_s: run time after a cache hit, in seconds.
    :param miss_run_s: run time after a cache miss, in seconds.
    :param mean_s: mean run time of all requests, in seconds.
    :param presumed_hit_fraction: fraction of cache hits at targets of the own
        region among attempts whose object this dispatcher had not sent there
        before; estimates the run time at the first-ranked target.
    :param remote_presumed_hit_fraction: the corresponding fraction at targets
        of other regions.
    :param cache_capacity: estimated cache capacity of a target, in objects.
    :param hit_count: number of run times averaged in ``hit_run_s``.
    :param miss_count: number of run times averaged in ``miss_run_s``.
    """

    hit_run_s: float = 0
    miss_run_s: float = 0
    mean_s: float = 0
    presumed_hit_fraction: float = INITIAL_PRESUMED_HIT_FRACTION
    remote_presumed_hit_fraction: float = INITIAL_PRESUMED_HIT_FRACTION
    cache_capacity: float = INITIAL_CACHE_CAPACITY
    hit_count: int = 0
    miss_count: int = 0

    def is_measured(self, *, hit: bool) -> bool:
        """Tell whether any run time has been measured.

        :param hit: whether run times after a cache hit are meant, or those
            after a cache miss.
        """
        return (self.hit_count if hit else self.miss_count) > 0

    def presumed_run_s(self, *, remote: bool) -> float:
        """Return the expected run time at the first-ranked target.

        This applies while the dispatcher has not sent it the object.

        :param remote: whether the target is in another region.
        """
        hit_fraction = (
            self.remote_presumed_hit_fraction
            if remote
            else self.presumed_hit_fraction
        )
        return self.miss_run_s + hit_fraction * (
            self.hit_run_s - self.miss_run_s
        )

    def record_presumed_object(self, *, was_hit: bool, remote: bool) -> None:
        """Record whether a presumed cache hit was one.

        :param was_hit: whether the target had cached the object.
        :param remote: whether the target is in another region.
        """
        if remote:
            self.remote_presumed_hit_fraction += PRESUMED_HIT_SMOOTHING * (
                was_hit - self.remote_presumed_hit_fraction
            )
        else:
            self.presumed_hit_fraction += PRESUMED_HIT_SMOOTHING * (
                was_hit - self.presumed_hit_fraction
            )

    def record_cached_object(self, *, was_hit: bool, cache_full: bool) -> None:
        """Adjust the estimated cache capacity after an expected cache hit.

        :param was_hit: whether the target still had the object cached.
        :param cache_full: whether its cache was taken to be full.
        """
        if was_hit and cache_full:
            self.cache_capacity = min(
                self.cache_capacity + CACHE_CAPACITY_INCREASE,
                MAX_CACHE_CAPACITY,
            )
        elif not was_hit:
            self.cache_capacity = max(
                self.cache_capacity - CACHE_CAPACITY_DECREASE,
                MIN_CACHE_CAPACITY,
            )


class Requirements(msgspec.Struct, frozen=True):
    """What one request requires of its target.

    :param allowed_regions: regions that may serve it; empty for all.
    :param excluded: names of targets that were already tried.
    :param pauses: pauses of the entry instance that sends it.
    :param count_before: returns how many of the requests that wait for a
        target are served before it; None for all of them.
    :param domain: failure domain that is preferred; empty for none.
    :param uses_reserved: whether slots may be used that are reserved for
        requests that may not run in the region of the dispatcher.
    """

    allowed_regions: frozenset[str] = frozenset()
    excluded: tuple[str, ...] = ()
    pauses: TargetPauses = NO_PAUSES
    count_before: Callable[[TrackedTarget], int] | None = None
    domain: str = ''
    uses_reserved: bool = False


class PlacementHistory:
    """What placement keeps when the targets of a service are replaced.

    It holds the orders by region and the targets that hold each object.
    """

    def __init__(self) -> None:
        self.holders: ObjectHolders = {}
        self.orders: collections.defaultdict[str, ObjectOrders] = (
            collections.defaultdict(ObjectOrders)
        )


class _RegionTargets:
    """Targets of one region that a dispatcher may use.

    :param region: name of the region.
    :param targets: its usable targets.
    :param orders: orders of the objects over all its targets.
    """

    def __init__(
        self,
        region: str,
        targets: list[TrackedTarget],
        orders: ObjectOrders,
    ) -> None:
        self.region = region
        self.targets = targets
        self.orders = orders
        #: All targets of a region share one pool.
        self.is_reserved = targets[0].pool.is_reserved
        self.extra_rtt_s = min(target.extra_rtt_s for target in targets)
        self.domains = DomainCapacity(targets)
        self._sample_start = 0

    def sample(self) -> Iterator[TrackedTarget]:
        """Yield the next few targets in turn."""
        start = self._sample_start
        end = start + SAMPLE_COUNT
        self._sample_start = end % len(self.targets)
        yield from self.targets[start:end]
        yield from self.targets[: max(end - len(self.targets), 0)]


class Placement:
    """Targets of one service that one dispatcher may use.

    Load pattern: hundreds of targets, of which a request can use a handful.
    The cost of a decision must not grow with the number of targets, or the
    dispatcher itself becomes the bottleneck while the load is highest.

    :param targets: the targets by name.
    :param region: region of the dispatcher.
    :param history: what is kept of an earlier placement of the service.
    """

    def __init__(
        self,
        targets: dict[str, TrackedTarget],
        region: str,
        history: PlacementHistory | None = None,
    ) -> None:
        self.targets = targets
        self.region = region
        self.history = history or PlacementHistory()
        self.usable = [
            target for target in targets.values() if target.pool.slots > 0
        ]
        self._regions = self._group_by_region()
        self._health_at = float('-inf')
        # Whether any request prefers a failure domain.
        self._tracks_domains = False
        #: Slots of the region's own targets, and those of them at disturbed
        #: targets at the last call of ``options``.
        self.own_slots = sum(
            target.slots for target in self.usable if target.region == region
        )
        self.disturbed_own_slots = 0
        for tracked in targets.values():
            tracked.cache.share_holders(self.history.holders)

    def options(
        self,
        key: str,
        times: RunTimes,
        now: float,
        requirements: Requirements,
    ) -> list[Option]:
        """Return the best targets for a request, with estimates.

        :param key: identity of the object that the request uses, or empty.
        :param times: run times of the service.
        :param now: monotonic time in seconds.
        :param requirements: what the request requires of its target.
        """
        domain = requirements.domain
        self._tracks_domains = self._tracks_domains or bool(domain)
        self._refresh_health(now)
        found: dict[str, Option] = {}
        groups = [
            group
            for group in self._allowed_groups(requirements.allowed_regions)
            if requirements.uses_reserved or not group.is_reserved
        ]
        excluded, pauses = requirements.excluded, requirements.pauses
        count_before = requirements.count_before
        for group in groups:
            hit_s = group.extra_rtt_s + times.hit_run_s * MIN_RUN_TIME_FRACTION
            if _best_total_s(found) <= hit_s:
                break
            for target, rank in self._candidates(
                group, key, times, found, domain
            ):
                name = target.entry.name
                if (
                    name not in excluded
                    and not target.is_barred
                    and not pauses.left_s(target.entry, now)
                ):
                    found[name] = self._option(
                        target, key, rank, times, now, count_before
                    )
        if found:
            return list(found.values())
        # All targets that were looked at are paused, barred or were tried.
        others = (
            _first_not_paused(region, excluded, pauses, now)
            for region in groups
        )
        return [
            self._option(other, key, RANK_COUNT, times, now, count_before)
            for other in others
            if other is not None
        ]

    def preference(
        self, domain: str, times: RunTimes, in_time_s: float
    ) -> DomainPreference:
        """Return how to choose among the options of a request.

        :param domain: failure domain that is preferred; empty for none.
        :param times: run times of the service.
        :param in_time_s: longest estimated time of an answer that is in time,
            in seconds.
        """
        own = next(
            (group for group in self._regions if group.region == self.region),
            None,
        )
        if own is None or not own.domains.holds_all_objects(
            domain, times.cache_capacity
        ):
            return DomainPreference('', has_room=False, in_time_s=in_time_s)
        return DomainPreference(
            domain, has_room=own.domains.has_room(domain), in_time_s=in_time_s
        )

    def may_stay(self, allowed_regions: frozenset[str]) -> bool:
        """Tell whether a request may run at targets of the own region.

        :param allowed_regions: regions that may serve it; empty for all.
        """
        return any(
            group.region == self.region
            for group in self._allowed_groups(allowed_regions)
        )

    def other_regions(self) -> list[str]:
        """Return the other regions that have usable targets."""
        return [
            group.region
            for group in self._regions
            if group.region != self.region
        ]

    def has_unpaused(
        self, allowed_regions: frozenset[str], pauses: TargetPauses, now: float
    ) -> bool:
        """Tell whether some target does not pause.

        :param allowed_regions: regions of the targets; empty for all.
        :param pauses: pauses of one entry instance.
        :param now: monotonic time in seconds.
        """
        return any(
            _first_not_paused(group, (), pauses, now)
            for group in self._allowed_groups(allowed_regions)
        )

    def _allowed_groups(
        self, allowed_regions: frozenset[str]
    ) -> list[_RegionTargets]:
        return [
            group
            for group in self._regions
            if not allowed_regions or group.region in allowed_regions
        ]

    def _group_by_region(self) -> list[_RegionTargets]:
        names: dict[str, list[str]] = {}
        for name, target in self.targets.items():
            names.setdefault(target.region, []).append(name)
        usable: dict[str, list[TrackedTarget]] = {}
        for usable_target in self.usable:
            usable.setdefault(usable_target.region, []).append(usable_target)
        groups = []
        for region, targets in usable.items():
            orders = self.history.orders[region]
            orders.replace_names(names[region])
            groups.append(_RegionTargets(region, targets, orders))
        return sorted(
            groups,
            key=lambda group: (group.region != self.region, group.extra_rtt_s),
        )

    def _candidates(
        self,
        group: _RegionTargets,
        key: str,
        times: RunTimes,
        found: dict[str, Option],
        domain: str,
    ) -> Iterator[tuple[TrackedTarget, int]]:
        """Yield targets with their ranks while a better one is possible.

        The caller adds each one to ``found`` before it asks for the next.
        """
        first = self._first_names(group, key, times, domain)
        ranks = {name: rank for rank, name in enumerate(first)}
        default_rank = RANK_COUNT if key else 0
        if len(group.targets) <= FULL_SCAN_COUNT:
            for any_target in group.targets:
                rank = ranks.get(any_target.entry.name, default_rank)
                yield any_target, rank
            return
        for holder in self._holders(key, group.region):
            rank = ranks.get(holder.entry.name, MAX_HOLDER_RANK)
            yield holder, min(rank, MAX_HOLDER_RANK)
        is_remote = group.region != self.region
        miss_s = group.extra_rtt_s + MIN_RUN_TIME_FRACTION * min(
            times.miss_run_s, times.presumed_run_s(remote=is_remote)
        )
        rank_step_s = times.hit_run_s * RANK_STEP_FRACTION
        for name, rank in ranks.items():
            if rank and _best_total_s(found) <= miss_s + rank * rank_step_s:
                return
            ranked_target = self.targets[name]
            if name not in found and ranked_target.pool.slots > 0:
                yield ranked_target, rank
        for sampled in group.sample():
            if sampled.entry.name not in ranks:
                yield sampled, default_rank

    def _first_names(
        self, group: _RegionTargets, key: str, times: RunTimes, domain: str
    ) -> list[str]:
        """Return the first targets of an object in a region, in rank order."""
        first = group.orders.first_names(key) if key else []
        if domain and group.domains.holds_all_objects(
            domain, times.cache_capacity
        ):
            return order_by_domain(first, self.targets, domain)
        return first

    def _holders(self, key: str, region: str) -> list[TrackedTarget]:
        """Return the usable targets of a region that hold an object."""
        holders = self.history.holders.get(key, {})
        return [
            target
            for name, target in holders.items()
            if target.region == region
            and target.pool.slots > 0
            and self.targets.get(name) is target
        ]

    def _refresh_health(self, now: float) -> None:
        is_fresh = 0 <= now - self._health_at < HEALTH_INTERVAL_S
        if is_fresh and len(self.usable) > FULL_SCAN_COUNT:
            return
        self._health_at = now
        # Most requests may not use reserved slots, however sound the targets.
        counted = [
            target for target in self.usable if not target.pool.is_reserved
        ] or self.usable
        ejected = sum(target.is_ejected(now) for target in counted)
        panic_mode = ejected > PANIC_THRESHOLD_FRACTION * len(counted)
        for usable_target in self.usable:
            usable_target.panic_mode = panic_mode
        if self._tracks_domains:
            for group in self._regions:
                group.domains.refresh(group.orders.object_count)
        self.disturbed_own_slots = sum(
            target.slots
            for target in self.usable
            if target.region == self.region and target.is_disturbed(now)
        )

    def _option(
        self,
        target: TrackedTarget,
        key: str,
        rank: int,
        times: RunTimes,
        now: float,
        count_before: Callable[[TrackedTarget], int] | None,
    ) -> Option:
        is_cached = target.has_cached(key) or not key
        run_s = times.hit_run_s if is_cached else times.miss_run_s
        if not is_cached and not rank:
            # All dispatchers of the region use this order, so an earlier one
            # may have had the object cached there.
            run_s = times.presumed_run_s(remote=target.region != self.region)
        target.expected_run_s = times.miss_run_s
        queued = count_before(target) if count_before else None
        wait_s = target.wait_s(times.hit_run_s, now, queued)
        loading_left_s = target.loading_left_s(key, times.miss_run_s, now)
        if not is_cached and loading_left_s is not None:
            wait_s = max(wait_s, loading_left_s)
            run_s = times.hit_run_s
        is_own = target.region == self.region
        if (
            is_own
            and target.untried
            and not (rank or wait_s or target.is_warming_up(now))
        ):
            # A new target gets its first request right after its warm-up.
            # Targets of other regions get it from their own dispatcher.
            return Option(target, 0, 0)
        busy_s = times.hit_run_s * 0.1 * target.running / target.slots
        total_s = (
            wait_s
            + run_s * target.slowdown(now)
            + target.extra_rtt_s
            + rank * times.hit_run_s * RANK_STEP_FRACTION
        )
        return Option(target, wait_s, total_s + busy_s)


def _first_not_paused(
    group: _RegionTargets,
    excluded: tuple[str, ...],
    pauses: TargetPauses,
    now: float,
) -> TrackedTarget | None:
    """Return the first target of a region that may be sent the request.

    The cost grows with the number of targets that may not, not of all.
    """
    for target in group.targets:
        barred = target.is_barred or target.entry.name in excluded
        if not barred and not pauses.left_s(target.entry, now):
            return target
    return None


def _best_total_s(found: dict[str, Option]) -> float:
    return min(
        (option.total_s for option in found.values()), default=float('inf')
    )
