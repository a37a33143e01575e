"""Estimates when each target would answer a request.

A cache hit takes a third of the time of a cache miss, and no target can
cache all objects. If requests were spread evenly, targets would evict each
other's objects all the time and reach only half of their throughput. Each
object therefore has a fixed order of targets in each region. A request waits
for a target that has cached its object as long as this is faster than a
cache miss at another target.
"""

import functools
from collections.abc import Iterable

import msgspec

from ..rendezvous import ranked
from .tracked_target import TrackedTarget

#: Added to the estimate for each rank in the order of an object's targets, in
#: seconds. It decides between targets that would be equally fast.
RANK_STEP_S = 0.01
#: Panic mode: with a larger fraction of the targets ejected, ejection is
#: ignored, because the remaining targets could not carry the load.
PANIC_THRESHOLD_FRACTION = 0.5
#: Size of the cache of orders. A service has tens to thousands of objects in
#: use.
MAX_CACHED_ORDERS = 8192
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


class Option(msgspec.Struct, frozen=True):
    """One target that could serve a request.

    :param wait_s: estimated time until the request can be sent, in seconds; 0
        if the target has a free slot.
    :param total_s: estimated time until the answer, in seconds.
    """

    target: TrackedTarget
    wait_s: float
    total_s: float


@functools.lru_cache(maxsize=MAX_CACHED_ORDERS)
def object_order(key: str, names: tuple[str, ...]) -> dict[str, int]:
    """Return the rank of each target in the order of an object.

    :param key: identity of the object.
    :param names: targets of one service in one region.
    """
    return {name: rank for rank, name in enumerate(ranked(key, names))}


class Placement:
    """Targets of one service that one dispatcher may use.

    :param targets: the targets by name.
    :param region: region of the dispatcher.
    """

    def __init__(self, targets: dict[str, TrackedTarget], region: str) -> None:
        self.targets = targets
        self.region = region
        self.usable = [
            target for target in targets.values() if target.pool.slots > 0
        ]
        by_region: dict[str, list[str]] = {}
        for name, target in targets.items():
            by_region.setdefault(target.region, []).append(name)
        self._names = {
            region_name: tuple(sorted(names))
            for region_name, names in by_region.items()
        }

    def options(
        self,
        key: str,
        times: RunTimes,
        now: float,
        allowed_regions: frozenset[str],
        excluded: tuple[str, ...],
    ) -> Iterable[Option]:
        """Yield the targets that may serve a request, with estimates.

        :param key: identity of the object that the request uses, or empty.
        :param times: run times of the service.
        :param now: monotonic time in seconds.
        :param allowed_regions: regions that may serve it; empty for all.
        :param excluded: names of targets that were already tried.
        """
        ejected = sum(target.is_ejected(now) for target in self.usable)
        panic_mode = ejected > PANIC_THRESHOLD_FRACTION * len(self.usable)
        for target in self.usable:
            target.panic_mode = panic_mode
            name = target.entry.name
            if name in excluded or (
                allowed_regions and target.region not in allowed_regions
            ):
                continue
            order = object_order(key, self._names[target.region]) if key else {}
            rank = order.get(name, 0)
            yield self._option(target, key, rank, times, now)

    def _option(
        self,
        target: TrackedTarget,
        key: str,
        rank: int,
        times: RunTimes,
        now: float,
    ) -> Option:
        is_cached = target.has_cached(key) or not key
        run_s = times.hit_run_s if is_cached else times.miss_run_s
        if not is_cached and not rank:
            # All dispatchers of the region use this order, so an earlier one
            # may have had the object cached there.
            run_s = times.presumed_run_s(remote=target.region != self.region)
        target.expected_run_s = times.miss_run_s
        wait_s = target.wait_s(times.hit_run_s, now)
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
            + rank * RANK_STEP_S
        )
        return Option(target, wait_s, total_s + busy_s)
