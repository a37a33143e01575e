"""Learns how fast targets work, from run times and from what they tell.

Some targets tell in each answer how long work takes on their machine at this
moment. That changes within about a second, so what a target told is worth the
less the older it is. How much less is learned from successive answers.
"""

import bisect
import collections
import math
import statistics

from .concurrency_limit import ConcurrencyLimit, FixedLimit, ServiceKnee

#: Upper ends of the classes of ages, in seconds. What a target told is not
#: used when it is older than the last one.
AGE_CLASSES_S = (0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
#: Time constant, in seconds, by which the worth of a told speed is assumed to
#: fall until answers show it, and the number of answers that weigh as much.
ASSUMED_PERSISTENCE_S = 0.5
ASSUMED_WEIGHT = 30
#: Number of answers over which the averages of a service extend.
NEWS_MEMORY = 2000
#: Least variance of told speeds, so that targets which always tell the same
#: cause no division by zero.
MIN_VARIANCE = 1e-4
#: Number of run times of a target that its usual run time is the median of.
USUAL_RUNS = 31
#: Number of run times that show a change; most of them must agree, so that a
#: single long run shows nothing.
RECENT_RUNS = 5
#: Runs of the usual length that are assumed until there are measured ones.
ASSUMED_RUNS = 2
_ASSUMED_LOGS = (float(0),) * ASSUMED_RUNS
#: A target is disturbed if recent runs take longer than usual ones by more
#: than this factor.
DISTURBED_FACTOR = 2.0
#: Time since the last run, in seconds, after which the learned speed begins
#: to fade, and the time that it takes to fade; then a slow target gets
#: requests again.
FADE_AFTER_S = 4.0
FADE_S = 4.0
#: Range of the learned run time relative to that of the service.
MIN_RATIO = 0.05
MAX_RATIO = 20.0


class SpeedNews:
    """Predicts the slowdown of the targets of a service from told ones.

    The prediction is linear in the last told slowdown. Its weight is the
    correlation of two slowdowns that a target told one after the other, by
    the time between them.

    :param learns_limits: whether concurrency limits of targets are learned.
    """

    def __init__(self, *, learns_limits: bool = True) -> None:
        self.learns_limits = learns_limits
        self.knee = ServiceKnee()
        self._mean = float(1)
        self._variance = float(0)
        self._count = 0
        self._covariances = [float(0) for _ in AGE_CLASSES_S]
        self._counts = [0 for _ in AGE_CLASSES_S]
        #: Correlations; computed when they change, as they are needed for
        #: each target that is considered for a request.
        self._weights = [_assumed_weight(end_s) for end_s in AGE_CLASSES_S]

    def record(self, told: float, before: float | None, age_s: float) -> None:
        """Learn from a slowdown that a target told.

        :param told: the slowdown.
        :param before: what the target told before; None if nothing.
        :param age_s: time since then, in seconds.
        """
        self._count = min(self._count + 1, NEWS_MEMORY)
        deviation = told - self._mean
        self._mean += deviation / self._count
        self._variance += (deviation**2 - self._variance) / self._count
        number = _age_class(age_s)
        if before is None or number is None:
            return
        self._counts[number] = min(self._counts[number] + 1, NEWS_MEMORY)
        product = (before - self._mean) * (told - self._mean)
        self._covariances[number] += (
            product - self._covariances[number]
        ) / self._counts[number]
        self._update_weight(number)

    def expected(self, told: float, age_s: float) -> float:
        """Return the slowdown that is expected of a target.

        :param told: the last slowdown that it told.
        :param age_s: time since then, in seconds.
        """
        number = _age_class(age_s)
        weight = 0 if number is None else self._weights[number]
        return max(self._mean + weight * (told - self._mean), MIN_RATIO)

    def _update_weight(self, number: int) -> None:
        if self._variance < MIN_VARIANCE:
            return
        count = self._counts[number]
        assumed = _assumed_weight(AGE_CLASSES_S[number]) * ASSUMED_WEIGHT
        measured = self._covariances[number] / self._variance * count
        weight = (assumed + measured) / (ASSUMED_WEIGHT + count)
        self._weights[number] = min(max(weight, 0), 1)


class TargetSpeed:
    """Run time of one target relative to its service's, and its slowdown.

    :param news: predicts the slowdown of the service's targets.
    :param slots: slots of the target.
    """

    def __init__(self, news: SpeedNews, slots: int) -> None:
        self._news = news
        limit_type = ConcurrencyLimit if news.learns_limits else FixedLimit
        self.limit = limit_type(slots, news.knee)
        #: Number of requests of others that ran at its last answer.
        self.others_running = 0
        self._told: float | None = None
        self._told_at = float('-inf')
        #: Logarithms of the last run times relative to the service's.
        self._runs: collections.deque[float] = collections.deque(
            maxlen=USUAL_RUNS
        )
        self._ran_at = float('-inf')
        self._usual_log = float(0)
        self._recent_log = float(0)

    def told(self, slowdown: float, now: float) -> None:
        """Record the slowdown that an answer told.

        :param slowdown: run time at this moment relative to the usual one.
        :param now: monotonic time in seconds.
        """
        self._news.record(slowdown, self._told, now - self._told_at)
        self._told = slowdown
        self._told_at = now

    def slowdown(self, now: float) -> float:
        """Return the slowdown that is expected of a run that starts now.

        :param now: monotonic time in seconds.
        """
        told = 1 if self._told is None else self._told
        return self._news.expected(told, now - self._told_at)

    def slowdown_during(self, told: float, run_s: float, now: float) -> float:
        """Return the mean slowdown during a run.

        :param told: the slowdown that its answer told.
        :param run_s: run time in seconds.
        :param now: monotonic time of its end, in seconds.
        """
        return (self.slowdown(now - run_s) + told) / 2

    def add_run(self, ratio: float, now: float) -> None:
        """Record a run time.

        :param ratio: run time relative to that of the service, without the
            slowdown of the moment and of other requests at the target.
        :param now: monotonic time in seconds.
        """
        log_ratio = math.log(min(max(ratio, MIN_RATIO), MAX_RATIO))
        self._runs.append(log_ratio)
        self._ran_at = now
        self._usual_log = statistics.median([*self._runs, *_ASSUMED_LOGS])
        if len(self._runs) >= RECENT_RUNS:
            recent = list(self._runs)[-RECENT_RUNS:]
            self._recent_log = statistics.median(recent)

    def usual_ratio(self, now: float) -> float:
        """Return the run time relative to that of the service.

        :param now: monotonic time in seconds.
        """
        log_ratio = self._usual_log
        if self._changed():
            log_ratio = self._recent_log
        idle_s = now - self._ran_at - FADE_AFTER_S
        faded = min(max(idle_s / FADE_S, 0), 1)
        return math.exp(log_ratio * (1 - faded))

    def is_disturbed(self, now: float) -> bool:
        """Tell whether runs take much longer than usual at this target.

        :param now: monotonic time in seconds.
        """
        return self._changed() and now - self._ran_at < FADE_AFTER_S

    def _changed(self) -> bool:
        return self._recent_log - self._usual_log > math.log(DISTURBED_FACTOR)


def _assumed_weight(age_s: float) -> float:
    return math.exp(-age_s / ASSUMED_PERSISTENCE_S)


def _age_class(age_s: float) -> int | None:
    number = bisect.bisect_left(AGE_CLASSES_S, age_s)
    return number if number < len(AGE_CLASSES_S) else None
