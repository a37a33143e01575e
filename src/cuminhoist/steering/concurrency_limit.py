"""Learns how many concurrent requests a target takes before they slow down.

Up to a number of concurrent requests, the knee, run times do not depend on
it. Beyond, they grow in proportion, and more requests get no more work done.
"""

import collections
import math
import statistics

#: Number of classes of concurrency. Targets with at most as many slots have a
#: class for each number of requests.
MAX_CLASSES = 16
#: Number of run times of each class that are kept.
CLASS_RUNS = 11
#: Number of run times after which the knee is estimated anew.
RUNS_PER_ESTIMATE = 4
#: Number of run times of a target after which a class beyond its knee that
#: had none is forgotten.
FORGET_RUNS = 60
#: Weight of the knee that is usual for the service, in run times.
SERVICE_WEIGHT = 4.0
#: Step by which the usual knee of a service follows those of its targets, as
#: a fraction of the slots.
SERVICE_STEP = 0.01
#: Number of requests beyond the knee that a target may be sent. They show
#: when the knee has moved up; without them the limit could only fall.
PROBE_REQUESTS = 1
#: Fraction of the slots that a new target is sent requests for at once. The
#: limit then rises while run times do not: a target that is always full would
#: not show how long runs take without others.
START_FRACTION = 0.5
#: Number of run times at a concurrency that show that it does no harm.
SHOWN_RUNS = 3
#: Factor by which a target's limit falls when it sheds or declines, and the
#: time in which it recovers by one request, in seconds.
DECLINE_FACTOR = 0.8
RECOVERY_S = 0.5


#: Least run time that counts, in seconds.
MIN_RUN_S = 1e-4


class ServiceKnee:
    """Knee that is usual for the targets of a service.

    A new target starts from it.
    """

    def __init__(self) -> None:
        #: Knee as a fraction of the slots.
        self.fraction = float(1)

    def record(self, fraction: float) -> None:
        """Follow the median of the targets' knees.

        :param fraction: knee of a target, as a fraction of its slots.
        """
        step = min(max(fraction - self.fraction, -SERVICE_STEP), SERVICE_STEP)
        self.fraction += step


class ConcurrencyLimit:
    """Learned knee and concurrency limit of one target.

    :param slots: slots of the target.
    :param service: knee that is usual for the service.
    """

    def __init__(self, slots: int, service: ServiceKnee) -> None:
        self._slots = max(slots, 1)
        self._service = service
        self._class_size = max(self._slots / MAX_CLASSES, 1)
        self._runs: dict[int, collections.deque[float]] = {}
        #: Number of the last run of each class.
        self._last_run: dict[int, int] = {}
        self._run_count = 0
        self._knee: float | None = None
        #: Highest class with enough run times.
        self._shown = math.ceil(self._slots * START_FRACTION / self._class_size)
        self._declined_limit = float('inf')
        self._declined_at = float('-inf')

    @property
    def knee(self) -> float:
        """Number of concurrent requests from which run times grow."""
        if self._knee is None:
            return max(self._service.fraction * self._slots, 1)
        return self._knee

    def limit(self, now: float) -> float:
        """Return how many requests may run concurrently.

        :param now: monotonic time in seconds.
        """
        recovered = (now - self._declined_at) / RECOVERY_S
        limit = min(
            math.ceil(min(self.knee, self._shown * self._class_size))
            + PROBE_REQUESTS,
            self._declined_limit + recovered,
        )
        return max(min(limit, self._slots), 1)

    def contention(self, running: float) -> float:
        """Return how much longer runs take because of each other.

        :param running: number of requests that run.
        """
        return max(running / self.knee, 1)

    def record_decline(self, running: int, now: float) -> None:
        """Lower the limit after a request that was not taken.

        :param running: number of requests that ran.
        :param now: monotonic time in seconds.
        """
        self._declined_limit = max(running * DECLINE_FACTOR, 1)
        self._declined_at = now

    def record_run(self, running: int, run_s: float) -> None:
        """Learn from a run time.

        :param running: number of requests that ran at its end.
        :param run_s: run time without the slowdown of the moment, in
            seconds. It is not relative to the service's average: that follows
            the run times of targets that are all busy.
        """
        number = math.ceil(min(max(running, 1), self._slots) / self._class_size)
        runs = self._runs.setdefault(
            number, collections.deque(maxlen=CLASS_RUNS)
        )
        runs.append(math.log(max(run_s, MIN_RUN_S)))
        if len(runs) >= SHOWN_RUNS:
            self._shown = max(self._shown, number)
        self._last_run[number] = self._run_count
        self._run_count += 1
        if self._run_count % RUNS_PER_ESTIMATE == 0:
            self._estimate()

    def _estimate(self) -> None:
        """Choose the knee for which run times deviate least."""
        self._forget_unused()
        points = [
            (number * self._class_size, statistics.median(runs), len(runs))
            for number, runs in sorted(self._runs.items())
        ]
        classes = math.ceil(self._slots / self._class_size)
        candidates = [
            (number + 1) * self._class_size for number in range(classes)
        ]
        self._knee = min(
            candidates, key=lambda knee: self._deviation(knee, points)
        )
        self._service.record(self._knee / self._slots)

    def _forget_unused(self) -> None:
        """Forget classes beyond the knee that had no run for long.

        Otherwise a limit that has fallen could not rise, as no request could
        show that the run times beyond it have changed.
        """
        knee_class = math.ceil(self.knee / self._class_size)
        for number in list(self._runs):
            unused = self._run_count - self._last_run[number]
            if number > knee_class and unused > FORGET_RUNS:
                self._runs.pop(number)
                self._shown = min(self._shown, number - 1)

    def _deviation(
        self, knee: float, points: list[tuple[float, float, int]]
    ) -> float:
        rests = [
            (log_ratio - math.log(max(running / knee, 1)), weight)
            for running, log_ratio, weight in points
        ]
        centre = _weighted_median(rests)
        deviation = sum(abs(rest - centre) * weight for rest, weight in rests)
        usual = max(self._service.fraction * self._slots, 1)
        return deviation + SERVICE_WEIGHT * abs(math.log(knee / usual))


class FixedLimit(ConcurrencyLimit):
    """Limit of a target that is sent requests for all of its slots."""

    def limit(self, now: float) -> float:
        """Return the slots.

        :param now: monotonic time in seconds.
        """
        return self._slots

    def contention(self, running: float) -> float:
        """Return 1: requests do not slow each other down.

        :param running: number of requests that run.
        """
        return 1

    def record_decline(self, running: int, now: float) -> None:
        """Learn nothing from a request that was not taken.

        :param running: number of requests that ran.
        :param now: monotonic time in seconds.
        """

    def record_run(self, running: int, run_s: float) -> None:
        """Learn nothing from a run time.

        :param running: number of requests that ran at its end.
        :param run_s: run time in seconds.
        """


def _weighted_median(pairs: list[tuple[float, int]]) -> float:
    total = sum(weight for _, weight in pairs)
    passed = 0
    for number, weight in sorted(pairs):
        passed += weight
        if 2 * passed >= total:
            return number
    return 0
