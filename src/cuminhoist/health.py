"""What the owner of a target has observed about it."""

import math

from .slots import SlotOutcome

#: One more slot each step, so that a cold cache is not flooded.
SLOW_START_STEP_S = 2.0

EJECT_AFTER_FAILURES = 3
EJECT_FIRST_S = 2.0
EJECT_LONGEST_S = 60.0

#: A target with a failure this recent is used only when others are full:
#: fast errors free its slots, which must not attract more requests.
FAILING_S = 2.0

#: A report that neither changes nor has a recent time is not believed.
REPORT_FRESH_S = 5.0

LATENCY_WEIGHT = 0.2
#: Latencies within a quarter of each other count as equal.
LATENCY_STEP = 1.25
_FASTEST_S = 1e-4


def latency_bucket(latency_s: float | None) -> int:
    """Return a latency as a number that is equal for similar ones.

    :param latency_s: the latency; None if never measured.
    """
    if latency_s is None:
        return 0
    relative = max(latency_s, _FASTEST_S) / _FASTEST_S
    return int(math.log(relative, LATENCY_STEP))


class TargetHealth:
    """Latency, failures, ejection, slow start and load of one target."""

    def __init__(self) -> None:
        self.latency_s: float | None = None
        self.failures = 0
        self.ejected_until = -math.inf
        self.observed_at = -math.inf
        self._ejections = 0
        self._failed_at = -math.inf
        self._failed_request = False
        self._warm_since = -math.inf
        self._limited_until = -math.inf
        self._report: tuple[float, float | None] | None = None
        self._report_fresh_until = -math.inf

    def restart(self, now: float) -> None:
        """Begin a slow start.

        :param now: monotonic time, the same for all methods.
        """
        self._warm_since = now

    def is_ejected(self, now: float) -> bool:
        """Tell whether the target gets no work because of failures.

        :param now: monotonic time.
        """
        return now < self.ejected_until

    def is_failing(self, now: float) -> bool:
        """Tell whether a request failed a short time ago.

        :param now: monotonic time.
        """
        return now - self._failed_at < FAILING_S

    def limit(self, slots: int, now: float) -> int:
        """Return how many slots may be in use.

        :param slots: slots of the target.
        :param now: monotonic time.
        """
        if self.is_ejected(now):
            return 0
        if now < self._limited_until:
            return min(1, slots)
        if now - self._warm_since >= slots * SLOW_START_STEP_S:
            return slots
        steps = int((now - self._warm_since) / SLOW_START_STEP_S)
        return min(slots, 1 + max(steps, 0))

    def note(self, outcome: SlotOutcome, latency_s: float, now: float) -> None:
        """Record how a request ended.

        :param outcome: how it ended.
        :param latency_s: time from dispatch to the end; 0 if not sent.
        :param now: monotonic time.
        """
        if outcome == SlotOutcome.answered:
            self._answered(latency_s, now)
        elif outcome == SlotOutcome.unknown or latency_s > 0:
            self._failed_at = now
            self._failed_request = True
            self.observed_at = now
        if outcome == SlotOutcome.failed or (
            outcome == SlotOutcome.not_run and latency_s > 0
        ):
            self.failures += 1

    def note_timeout(self, now: float) -> None:
        """Record that a request or a probe did not end in time.

        :param now: monotonic time.
        """
        self._failed_at = now
        self.failures += 1

    def note_probe(self) -> None:
        """Record that the target answered a probe well.

        It does not end an ejection: the target may answer probes while
        requests fail. Failures of earlier probes do not count any more
        only if no request failed since.
        """
        if not self._failed_request:
            self.failures = 0

    def eject(self, now: float, *, allowed: bool) -> None:
        """Take the target out of use, or limit it to one slot.

        :param now: monotonic time.
        :param allowed: whether enough other targets are in use.
        """
        length_s = min(EJECT_FIRST_S * 2**self._ejections, EJECT_LONGEST_S)
        # Bounded so that the power cannot overflow.
        self._ejections = min(self._ejections + 1, 10)
        self.failures = 0
        if allowed:
            self.ejected_until = now + length_s
            self.restart(self.ejected_until)
        else:
            self._limited_until = now + length_s

    def extend_ejection(self, now: float) -> None:
        """Keep an ejected target out after a failed probe.

        :param now: monotonic time.
        """
        if self.is_ejected(now):
            self.ejected_until = max(self.ejected_until, now + EJECT_FIRST_S)
            self.restart(self.ejected_until)

    def report(
        self,
        load: float,
        now: float,
        age_s: float | None = None,
    ) -> None:
        """Record the load that the target reports of itself.

        :param load: the reported figure.
        :param now: monotonic time.
        :param age_s: age of the report by its own time; None if it has none.
        """
        if age_s is not None:
            if abs(age_s) <= REPORT_FRESH_S:
                self._report_fresh_until = now + REPORT_FRESH_S - max(age_s, 0)
        elif self._report is not None and self._report[0] != load:
            self._report_fresh_until = now + REPORT_FRESH_S
        self._report = (load, age_s)

    def fresh_load(self, now: float) -> float:
        """Return the reported load, or 0 if it is not fresh.

        :param now: monotonic time.
        """
        if self._report is None or now >= self._report_fresh_until:
            return 0
        return self._report[0]

    def _answered(self, latency_s: float, now: float) -> None:
        self.failures = 0
        self._failed_request = False
        self.observed_at = now
        if now >= self._limited_until:
            self._ejections = 0
        if self.latency_s is None:
            self.latency_s = latency_s
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s)
