"""Keeps requests from a target for a time after failures."""

from .decisions import Ending

#: Weight of a new observation in moving averages.
SMOOTHING = 0.2
#: A target is ejected above this fraction of failed requests.
MAX_FAILURE_FRACTION = 0.5
#: Number of consecutive failures after which a target is ejected.
MAX_CONSECUTIVE_FAILURES = 3
#: Duration of the first ejection and the longest one, in seconds. A crashed
#: target stays on the target list for some seconds.
MIN_EJECTION_S = 0.4
MAX_EJECTION_S = 3.0
#: Pause after a target shed a request, in seconds. Its queue is full, and the
#: shortest run takes about this long.
SHED_PAUSE_S = 0.06

_FAILURES = frozenset((Ending.failed, Ending.lost, Ending.timeout))


class TargetEjection:
    """Failures of one target and the ejections that follow."""

    def __init__(self) -> None:
        #: Until when the target gets no requests, in monotonic seconds.
        self.until = float('-inf')
        self.failure_fraction = float(0)
        self._next_s = MIN_EJECTION_S
        self._failing_until = float('-inf')
        self._consecutive_failures = 0

    @property
    def keeps_failing(self) -> bool:
        """Whether as many failures followed each other as eject a target."""
        return self._consecutive_failures >= MAX_CONSECUTIVE_FAILURES

    def is_for_failures(self, now: float) -> bool:
        """Tell whether failures keep requests from the target now.

        :param now: monotonic time in seconds.
        """
        return now < self._failing_until or self.keeps_failing

    def record_answer(self) -> None:
        """Count a request that was answered."""
        self._consecutive_failures = 0
        self.failure_fraction *= 1 - SMOOTHING
        self._next_s = MIN_EJECTION_S

    def record_failure(self, ending: Ending, now: float) -> None:
        """Count an attempt that was not answered.

        :param ending: how it ended; a withdrawn or declined one is no failure.
        :param now: monotonic time in seconds.
        """
        if ending in _FAILURES:
            self._record_failure(now)
        elif ending is Ending.shed:
            self.until = max(self.until, now + SHED_PAUSE_S)
        elif ending in {Ending.unreachable, Ending.misdirected}:
            self._consecutive_failures = MAX_CONSECUTIVE_FAILURES
            self._eject(now)

    def _record_failure(self, now: float) -> None:
        self._consecutive_failures += 1
        self.failure_fraction += SMOOTHING * (1 - self.failure_fraction)
        if self.keeps_failing or self.failure_fraction > MAX_FAILURE_FRACTION:
            self._eject(now)

    def _eject(self, now: float) -> None:
        if now < self.until:
            return
        self.until = now + self._next_s
        self._failing_until = self.until
        self._next_s = min(self._next_s * 2, MAX_EJECTION_S)
