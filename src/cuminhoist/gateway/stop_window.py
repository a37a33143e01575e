"""Which requests a stopping instance can still answer.

Load that it answers: callers keep look-up answers for seconds and kept
connections for longer, so that requests arrive until the end of the process.
An instance can be one of many that are replaced in turn, and services answer
within some milliseconds or only near the deadlines of their callers.
"""

from typing import Self

import msgspec

#: Parts of the grace period, from its start. After the first, requests that
#: wait or run are refused or failed; after the second, the process ends.
ANSWERS_FRACTION = 0.94
EXIT_FRACTION = 0.97
#: Part of the grace period in which run times of late count. What is left
#: after it is too short for a service that turns slow, so that only the
#: deadlines of requests count.
ESTIMATES_FRACTION = 0.5
#: The same as a time, in seconds: callers that hold an old look-up answer may
#: come for so long, and any later one finds another instance.
ESTIMATES_LIMIT_S = 3.0
#: Runs may take longer than all recent ones by this factor.
RUN_TIME_MARGIN = 1.5
#: Requests of a kind from which on the longest one says how long others take.
MIN_COUNT = 30
#: Requests count for this long at least, and twice as long at most, in
#: seconds.
KEPT_S = 60.0

#: Requests that take similar times: route and service.
RequestKind = tuple[str, str]


class StopWindow(msgspec.Struct, frozen=True):
    """Times of a stop, in monotonic seconds.

    :param began_at: when the stop began.
    :param estimates_until: end of the time in which run times of late count.
    :param answers_until: time by which requests must be answered.
    :param exits_at: time at which the process ends.
    """

    began_at: float
    estimates_until: float
    answers_until: float
    exits_at: float

    @classmethod
    def from_grace(cls, grace_s: float, now: float) -> Self:
        """Return the times of a stop that begins now.

        :param grace_s: time until the process is killed, in seconds.
        :param now: monotonic time in seconds.
        """
        return cls(
            now,
            now + min(grace_s * ESTIMATES_FRACTION, ESTIMATES_LIMIT_S),
            now + grace_s * ANSWERS_FRACTION,
            now + grace_s * EXIT_FRACTION,
        )

    def latest_start(
        self,
        deadline: float,
        needed_s: float,
        *,
        needs_certainty: bool = False,
    ) -> float:
        """Return until when a request may be sent to a target.

        A request that ends by its own deadline in time may be sent always.

        :param deadline: monotonic time at which the request ends at the
            latest, with the body of its answer.
        :param needed_s: time in which requests of its kind are answered;
            infinite if it is not known.
        :param needs_certainty: whether only the deadline counts, because a
            caller that gets no answer can't send the request again.
        :returns: monotonic time; plus or minus infinity for always or never.
        """
        if deadline <= self.answers_until:
            return float('inf')
        if needs_certainty:
            return -float('inf')
        return min(self.estimates_until, self.answers_until - needed_s)


class _Sample(msgspec.Struct):
    """Requests of one kind.

    :param answered: how many were answered.
    :param longest_s: longest time from arrival to end, in seconds.
    """

    answered: int = 0
    longest_s: float = 0


class AnswerTimes:
    """Learns in which time requests of each kind are answered.

    The longest of at least ``MIN_COUNT`` requests stands for a high quantile;
    unanswered ones count with their ages, since a service may just have
    turned slow.
    """

    def __init__(self) -> None:
        self._recent: dict[RequestKind, _Sample] = {}
        self._former: dict[RequestKind, _Sample] = {}
        self._recent_since = float('-inf')
        #: Times of arrival of the unanswered requests, in order.
        self._running: dict[RequestKind, dict[int, float]] = {}

    def start(self, kind: RequestKind, request: int, now: float) -> None:
        """Note that a request has arrived.

        :param kind: its kind.
        :param request: identifies it until it ends.
        :param now: monotonic time in seconds.
        """
        self._running.setdefault(kind, {})[request] = now

    def end(
        self, kind: RequestKind, request: int, now: float, *, answered: bool
    ) -> None:
        """Note that a request has ended.

        :param kind: its kind.
        :param request: identifies it.
        :param now: monotonic time in seconds.
        :param answered: whether a target has served it. Others may have ended
            sooner than that, so that they raise the longest time only.
        """
        running = self._running[kind]
        took_s = now - running.pop(request)
        if not running:
            self._running.pop(kind)
        self._forget_old(now)
        sample = self._recent.setdefault(kind, _Sample())
        sample.answered += answered
        sample.longest_s = max(sample.longest_s, took_s)

    def needed_s(self, kind: RequestKind, now: float) -> float:
        """Return in which time requests of a kind are answered, in seconds.

        Infinite if too few have been answered of late.

        :param kind: the kind.
        :param now: monotonic time in seconds.
        """
        self._forget_old(now)
        samples = [
            one.get(kind, _Sample()) for one in (self._recent, self._former)
        ]
        if sum(sample.answered for sample in samples) < MIN_COUNT:
            return float('inf')
        oldest = next(iter(self._running.get(kind, {}).values()), now)
        longest_s = max(sample.longest_s for sample in samples)
        return max(longest_s, now - oldest) * RUN_TIME_MARGIN

    def _forget_old(self, now: float) -> None:
        age_s = now - self._recent_since
        if age_s < KEPT_S:
            return
        self._former = self._recent if age_s < 2 * KEPT_S else {}
        self._recent = {}
        self._recent_since = now
