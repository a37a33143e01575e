"""Latency, failures, ejection and slow start of a target, kept by its owner."""

import math

from .slots import SlotOutcome

#: A slow start adds one slot at each step, so that a target whose cache is
#: empty does not get as many requests at once as it has slots.
SLOW_START_STEP_S = 2.0

EJECT_AFTER_FAILURES = 3
MIN_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0

#: A target with a failure this recent is used only when the others are full.
#: Otherwise fast errors, which free its slots soon, would attract requests.
FAILING_WINDOW_S = 2.0

#: A reported load counts for this long after its time or, if it has none,
#: after a report whose load differs from the one before.
LOAD_REPORT_LIFETIME_S = 5.0

#: Weight of a new latency in the moving average.
LATENCY_SMOOTHING = 0.2
#: Ratio of the bounds of a latency bucket: latencies in one bucket, within a
#: quarter of each other, count as equal.
LATENCY_BUCKET_RATIO = 1.25
_MIN_LATENCY_S = 1e-4


def latency_bucket(latency_s: float | None) -> int:
    """Return the bucket of a latency, 0 for the lowest latencies.

    :param latency_s: the latency in seconds; None if never measured.
    """
    if latency_s is None:
        return 0
    ratio = max(latency_s, _MIN_LATENCY_S) / _MIN_LATENCY_S
    return int(math.log(ratio, LATENCY_BUCKET_RATIO))


class TargetHealth:
    """Latency, failures, ejection, slow start and load of one target."""

    def __init__(self) -> None:
        self.latency_s: float | None = None
        self.failures = 0
        self.ejected_until = -math.inf
        self.observed_at = -math.inf
        self._ejections = 0
        self._failed_at = -math.inf
        # Whether a request has failed since the last answer to one.
        self._request_failed = False
        self._slow_start_at = -math.inf
        self._one_slot_until = -math.inf
        # The last reported load, and the age of its report if known.
        self._load_report: tuple[float, float | None] | None = None
        self._load_fresh_until = -math.inf

    def begin_slow_start(self, now: float) -> None:
        """Begin a slow start.

        :param now: monotonic time at which it begins.
        """
        self._slow_start_at = now

    def is_ejected(self, now: float) -> bool:
        """Return whether the target is ejected.

        :param now: monotonic time.
        """
        return now < self.ejected_until

    def is_failing(self, now: float) -> bool:
        """Return whether a request failed in the last ``FAILING_WINDOW_S``.

        :param now: monotonic time.
        """
        return now - self._failed_at < FAILING_WINDOW_S

    def slot_limit(self, slots: int, now: float) -> int:
        """Return how many slots ejection and slow start allow in use.

        :param slots: slots of the target.
        :param now: monotonic time.
        """
        if self.is_ejected(now):
            return 0
        if now < self._one_slot_until:
            return min(1, slots)
        if now - self._slow_start_at >= slots * SLOW_START_STEP_S:
            return slots
        steps = int((now - self._slow_start_at) / SLOW_START_STEP_S)
        return min(slots, 1 + max(steps, 0))

    def record_outcome(
        self, outcome: SlotOutcome, latency_s: float, now: float
    ) -> None:
        """Record how a request ended.

        :param outcome: how it ended.
        :param latency_s: seconds from dispatch to the end; 0 if not sent.
        :param now: monotonic time.
        """
        if outcome == SlotOutcome.answered:
            self._record_answer(latency_s, now)
        elif outcome == SlotOutcome.unknown or latency_s > 0:
            self._failed_at = now
            self._request_failed = True
            self.observed_at = now
        if outcome == SlotOutcome.failed or (
            outcome == SlotOutcome.not_run and latency_s > 0
        ):
            self.failures += 1

    def record_timeout(self, now: float) -> None:
        """Record that a request timed out or a probe failed.

        :param now: monotonic time.
        """
        self._failed_at = now
        self.failures += 1

    def record_good_probe(self) -> None:
        """Record that the target answered a probe as healthy.

        An ejection goes on, since the target may answer probes while requests
        fail. The failure count is reset only if no request has failed since
        the last answer to a request.
        """
        if not self._request_failed:
            self.failures = 0

    def eject(self, now: float, *, allowed: bool) -> None:
        """Eject the target, or limit it to one slot for as long.

        The time doubles with each ejection until a request is answered.

        :param now: monotonic time.
        :param allowed: whether enough other targets stay in use.
        """
        length_s = min(MIN_EJECTION_S * 2**self._ejections, MAX_EJECTION_S)
        # Limited so that the power of two cannot overflow.
        self._ejections = min(self._ejections + 1, 10)
        self.failures = 0
        if allowed:
            self.ejected_until = now + length_s
            self.begin_slow_start(self.ejected_until)
        else:
            self._one_slot_until = now + length_s

    def extend_ejection(self, now: float) -> None:
        """Extend the ejection of a target after a failed probe.

        :param now: monotonic time.
        """
        if self.is_ejected(now):
            self.ejected_until = max(self.ejected_until, now + MIN_EJECTION_S)
            self.begin_slow_start(self.ejected_until)

    def record_load(
        self,
        load: float,
        now: float,
        age_s: float | None = None,
    ) -> None:
        """Record the load that the target reports.

        :param load: the reported load, in the target's own unit.
        :param now: monotonic time.
        :param age_s: age of the report by the time in it, in seconds; None
            if it has no time.
        """
        if age_s is not None:
            if abs(age_s) <= LOAD_REPORT_LIFETIME_S:
                self._load_fresh_until = (
                    now + LOAD_REPORT_LIFETIME_S - max(age_s, 0)
                )
        elif self._load_report is not None and self._load_report[0] != load:
            self._load_fresh_until = now + LOAD_REPORT_LIFETIME_S
        self._load_report = (load, age_s)

    def fresh_load(self, now: float) -> float:
        """Return the reported load, or 0 if it is not fresh.

        :param now: monotonic time.
        """
        if self._load_report is None or now >= self._load_fresh_until:
            return 0
        return self._load_report[0]

    def _record_answer(self, latency_s: float, now: float) -> None:
        self.failures = 0
        self._request_failed = False
        self.observed_at = now
        if now >= self._one_slot_until:
            self._ejections = 0
        if self.latency_s is None:
            self.latency_s = latency_s
        self.latency_s += LATENCY_SMOOTHING * (latency_s - self.latency_s)
