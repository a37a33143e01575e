"""Tells which requests end the targets that run them.

Such a poison request is known by its content: the same path, caller and body
at any entry instance. A target that ends takes all requests with it that ran
there, so one end says little about each of them. A request counts as poison
once enough targets have ended under it that no other request explains.
"""

import collections
from collections.abc import Iterable

import msgspec

#: Targets that must have ended under a request before it is refused.
MAX_ENDED_TARGETS = 3
#: Time after the last end of a target for which a request is remembered, in
#: seconds. Its next try may come long after the last one.
REMEMBERED_S = 600.0
#: Most requests that are remembered; the longest known ones are dropped.
MAX_REQUESTS = 5000

#: Name of a target and the Unix time of its start, in milliseconds.
_Incarnation = tuple[str, int]


class TargetEnd(msgspec.Struct, frozen=True, array_like=True):
    """A target that ended while it ran a request.

    :param fingerprint: identifies the content of the request.
    :param target: name of the target.
    :param target_started_at_ms: Unix time of its start in milliseconds.
    :param refuted: whether the request has been answered since, so that it
        was not the cause.
    """

    fingerprint: str
    target: str
    target_started_at_ms: int
    refuted: bool = False


class _Suspect(msgspec.Struct):
    """What is known of one request.

    :param ends: the targets that ended under it, and whether that is refuted.
    :param changed_at: monotonic time of the last change, in seconds.
    """

    ends: dict[_Incarnation, bool]
    changed_at: float

    @property
    def unrefuted(self) -> set[_Incarnation]:
        """The ended targets that it may be the cause of."""
        return {ended for ended, refuted in self.ends.items() if not refuted}


class PoisonRequests:
    """Ends of targets by the request that ran there.

    Records of several instances are merged by their union, in any order and
    any number of times; a refuted end stays refuted.
    """

    def __init__(self) -> None:
        #: Requests in the order of their last change.
        self._suspects: collections.OrderedDict[str, _Suspect] = (
            collections.OrderedDict()
        )
        self._requests_by_target: dict[_Incarnation, set[str]] = {}

    def __bool__(self) -> bool:
        """Tell whether any request is known."""
        return bool(self._suspects)

    def record(
        self, ends: Iterable[TargetEnd], now: float
    ) -> tuple[TargetEnd, ...]:
        """Add ends of targets and return those that are new.

        :param ends: the ends.
        :param now: monotonic time in seconds.
        """
        self._forget_old(now)
        return tuple(end for end in ends if self._add(end, now))

    def refute(self, fingerprint: str, now: float) -> tuple[TargetEnd, ...]:
        """Record that a request was answered; return the refuted ends.

        :param fingerprint: the request.
        :param now: monotonic time in seconds.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return ()
        refuted = [
            TargetEnd(fingerprint, target, started_at_ms, refuted=True)
            for target, started_at_ms in sorted(suspect.unrefuted)
        ]
        return self.record(refuted, now)

    def is_poison(self, fingerprint: str) -> bool:
        """Tell whether a request must not be sent to any target.

        :param fingerprint: the request.
        """
        return self.ended_targets(fingerprint) >= MAX_ENDED_TARGETS

    def ended_targets(self, fingerprint: str) -> int:
        """Return how many targets ended that only this request explains.

        An end that another request shares is explained by the one under which
        more targets have ended.

        :param fingerprint: the request.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0
        ends = suspect.unrefuted
        return sum(
            all(
                len(self._suspects[other].unrefuted) < len(ends)
                for other in self._requests_by_target[ended] - {fingerprint}
                if not self._suspects[other].ends[ended]
            )
            for ended in ends
        )

    def in_force(self) -> tuple[TargetEnd, ...]:
        """Return all ends, for instances that may not know them."""
        return tuple(
            TargetEnd(fingerprint, *ended, refuted=refuted)
            for fingerprint, suspect in self._suspects.items()
            for ended, refuted in suspect.ends.items()
        )

    def _add(self, end: TargetEnd, now: float) -> bool:
        suspect = self._suspects.setdefault(end.fingerprint, _Suspect({}, now))
        ended = (end.target, end.target_started_at_ms)
        known = suspect.ends.get(ended)
        if known is not None and known >= end.refuted:
            return False
        suspect.ends[ended] = end.refuted
        suspect.changed_at = now
        self._suspects.move_to_end(end.fingerprint)
        self._requests_by_target.setdefault(ended, set()).add(end.fingerprint)
        return True

    def _forget_old(self, now: float) -> None:
        while self._suspects:
            fingerprint, oldest = next(iter(self._suspects.items()))
            expired = now - oldest.changed_at > REMEMBERED_S
            if not expired and len(self._suspects) <= MAX_REQUESTS:
                return
            self._suspects.pop(fingerprint)
            for ended in oldest.ends:
                requests = self._requests_by_target[ended]
                requests.discard(fingerprint)
                if not requests:
                    self._requests_by_target.pop(ended)
