"""Learns run times and cache results of a service from attempt reports."""

import math

import msgspec

from .decisions import AttemptReport, Ending
from .queues import INITIAL_MISS_RUN_FRACTION, SMOOTHING, ServiceQueue
from .tracked_target import TrackedTarget

#: Runs that take longer than expected by at least this factor are left out of
#: the average run times of the service.
OUTLIER_RATIO = 4.0
#: A run time within this factor of the usual run time after a cache miss
#: counts as a cache miss.
MISS_LIKE_RATIO = 1.35


class _Conditions(msgspec.Struct, frozen=True):
    """What made a run longer or shorter than one on a usual target.

    :param usual_ratio: run time of the target relative to its service's.
    :param slowdown: mean slowdown of its machine during the run.
    :param contention: slowdown by other requests at the target.
    :param running: number of requests that ran there at its end.
    """

    usual_ratio: float = 1
    slowdown: float = 1
    contention: float = 1
    running: int = 0

    @property
    def total(self) -> float:
        """Expected run time relative to that of a usual target."""
        return self.usual_ratio * self.slowdown * self.contention

    def record_run(
        self,
        queue: ServiceQueue,
        target: TrackedTarget,
        report: AttemptReport,
        run_s: float,
        now: float,
    ) -> None:
        """Record a run time in the learned speed of its target.

        Only requests with an expected cache hit, or without an object, are
        recorded: otherwise a cache hit at a slow target could be mistaken for
        a miss at a fast one. Unexpected misses are few.

        :param queue: queue of the service.
        :param target: target of the attempt.
        :param report: the attempt report.
        :param run_s: run time without these conditions, in seconds.
        :param now: monotonic time in seconds.
        """
        if (
            target.speed is not None
            and report.ending is Ending.answered
            and not target.is_warming_up(now)
        ):
            times = queue.run_times
            usual_s = times.hit_run_s if report.key else times.mean_s
            ratio = _ratio(run_s, usual_s) * self.usual_ratio
            target.speed.add_run(ratio, now)
            target.speed.limit.record_run(
                self.running, run_s * self.total / self.slowdown
            )


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
    conditions = _conditions(queue, target, report, run_s, now)
    if not times.miss_run_s:
        # No run time is known yet, and this one is zero after subtracting
        # the network round trip.
        return 1
    if report.ending is Ending.answered:
        times.mean_s += SMOOTHING * (run_s - times.mean_s)
    run_s /= conditions.total
    if expected_hit or not report.key:
        conditions.record_run(queue, target, report, run_s, now)
    was_hit = run_s < _longest_hit_s(queue, target)
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
        queue.add_run_time(
            run_s * conditions.usual_ratio,
            expected_hit=expected_hit,
            robust=target.speed is not None,
        )
    return ratio


def _conditions(
    queue: ServiceQueue,
    target: TrackedTarget,
    report: AttemptReport,
    run_s: float,
    now: float,
) -> _Conditions:
    if report.load is None or report.load.slowdown is None:
        return _Conditions()
    speed = target.learn_speed(queue.speed_news)
    told = report.load.slowdown
    # Answers differ in whether they count the request that they answer.
    running = max(report.load.running, target.running)
    conditions = _Conditions(
        speed.usual_ratio(now),
        speed.slowdown_during(told, run_s, now),
        speed.limit.contention(running),
        running,
    )
    speed.told(told, now)
    speed.others_running = max(report.load.running - target.running, 0)
    if report.ending in {Ending.shed, Ending.declined}:
        speed.limit.record_decline(running, now)
    return conditions


def _longest_hit_s(queue: ServiceQueue, target: TrackedTarget) -> float:
    """Return the run time up to which a run counts as a cache hit."""
    times = queue.run_times
    if target.speed is None:
        return (times.hit_run_s + times.miss_run_s) / 2
    # Run times of unlike targets spread by factors. With the arithmetic mean,
    # only the longest misses would count as misses and raise their average.
    return math.sqrt(times.hit_run_s * times.miss_run_s)


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
