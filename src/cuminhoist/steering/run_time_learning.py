"""Learns run times and cache results of a service from attempt reports."""

from .decisions import AttemptReport, Ending
from .queues import INITIAL_MISS_RUN_FRACTION, SMOOTHING, ServiceQueue
from .tracked_target import TrackedTarget

#: Runs that take longer than expected by at least this factor are left out of
#: the average run times of the service.
OUTLIER_RATIO = 4.0
#: A run time within this factor of the usual run time after a cache miss
#: counts as a cache miss.
MISS_LIKE_RATIO = 1.35


def learn_run_time(
    queue: ServiceQueue,
    target: TrackedTarget,
    report: AttemptReport,
    expected_hit: bool,
    now: float,
) -> float:
    """Learn a run time and return its ratio to the expected one.

    :param queue: queue of the service.
    :param target: target of the attempt.
    :param report: the attempt report.
    :param expected_hit: whether a cache hit was expected.
    :param now: monotonic time in seconds.
    """
    times = queue.run_times
    run_s = max(report.run_s - target.extra_rtt_s, 0)
    queue.init_run_times(run_s / INITIAL_MISS_RUN_FRACTION)
    if not times.miss_run_s:
        # No run time is known yet, and this one is zero after subtracting
        # the network round trip.
        return 1
    if report.ending is Ending.answered:
        times.mean_s += SMOOTHING * (run_s - times.mean_s)
    was_hit = run_s < (times.hit_run_s + times.miss_run_s) / 2
    # At a slow target, a long run time is no evidence of a cache miss.
    miss_like = 1 / MISS_LIKE_RATIO < run_s / times.miss_run_s < MISS_LIKE_RATIO
    is_evidence = was_hit or (miss_like and not target.is_disturbed(now))
    if report.key and is_evidence:
        _learn_cache_result(queue, target, was_hit, expected_hit)
    if not expected_hit and was_hit:
        # The target had cached the object, which was not expected.
        return _ratio(run_s, times.hit_run_s)
    cache_full = target.cache.is_full(times.cache_capacity)
    # A full cache may have evicted the object; the target is then not slow.
    missed = not was_hit and cache_full
    expected = times.hit_run_s
    if missed or not expected_hit:
        expected = times.miss_run_s
    ratio = _ratio(run_s, expected)
    if ratio >= OUTLIER_RATIO and not times.is_measured(hit=expected_hit):
        # The expected run time is a guess from the objective of the first
        # request. If little of that was left, all run times would be outliers
        # for good.
        ratio = 1
    is_usual = not target.is_warming_up(now) and ratio < OUTLIER_RATIO
    if report.ending is Ending.answered and is_usual:
        queue.add_run_time(run_s, expected_hit=expected_hit)
    return ratio


def _learn_cache_result(
    queue: ServiceQueue,
    target: TrackedTarget,
    was_hit: bool,
    expected_hit: bool,
) -> None:
    times = queue.run_times
    if expected_hit:
        times.record_cached_object(
            was_hit=was_hit,
            cache_full=target.cache.is_full(times.cache_capacity),
        )
    else:
        remote = target.region != queue.placement.region
        times.record_presumed_object(was_hit=was_hit, remote=remote)
    target.cache.capacity = times.cache_capacity


def _ratio(run_s: float, expected_s: float) -> float:
    return run_s / expected_s if expected_s else 1
