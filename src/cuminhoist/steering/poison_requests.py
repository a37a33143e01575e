"""Tells which requests end the targets that run them.

A poison request is known by its content: the same path, caller and body at
any entry instance. A target that ends takes all requests with it that ran
there, so one end says little about each of them. A request counts as poison
once enough targets have ended under it that no other request explains.

The same path and body may come from several callers. As long as none of them
gets an answer, the ends of targets count for all of them together.
"""

import collections
from collections.abc import Iterable

import msgspec

#: Targets that must have ended under a request before it is refused.
MAX_ENDED_TARGETS = 3
#: Callers under whose requests targets must have ended before the same path
#: and body is refused for all callers.
MIN_CALLERS = 2
#: Time after the last end of a target for which a request is remembered, in
#: seconds. Its next try may come long after the last one.
REMEMBERED_S = 600.0
#: Most requests that are remembered; the longest known ones are dropped.
MAX_REQUESTS = 5000

#: Name of a target and the Unix time of its start, in milliseconds.
_Incarnation = tuple[str, int]


class Fingerprint(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a request, the same for all its tries.

    :param content: digest of its path and body.
    :param caller: digest of its caller, path and body.
    """

    content: str
    caller: str


class TargetEnd(msgspec.Struct, frozen=True, array_like=True):
    """A target that ended while it ran a request.

    :param request: the request.
    :param target: name of the target.
    :param target_started_at_ms: Unix time of its start in milliseconds.
    :param refuted: whether the request was not the cause: it has been
        answered since, or the whole failure domain ended.
    """

    request: Fingerprint
    target: str
    target_started_at_ms: int
    refuted: bool = False


class PoisonRequests:
    """Ends of targets by the request that ran there.

    Records of several instances are merged by their union, in any order and
    any number of times; a refuted end stays refuted.
    """

    def __init__(self) -> None:
        self._by_caller = _Suspects()
        self._by_content = _Suspects()
        self._callers: dict[str, set[str]] = {}

    def __bool__(self) -> bool:
        """Tell whether any request is known."""
        return bool(self._by_content.ends)

    def record(
        self, ends: Iterable[TargetEnd], now: float
    ) -> tuple[TargetEnd, ...]:
        """Add ends of targets and return those that are new.

        :param ends: the ends.
        :param now: monotonic time in seconds.
        """
        self._by_caller.forget_old(now)
        for content in self._by_content.forget_old(now):
            self._callers.pop(content, None)
        return tuple(end for end in ends if self._add(end, now))

    def refute(self, request: Fingerprint, now: float) -> tuple[TargetEnd, ...]:
        """Record that a request was answered; return the refuted ends.

        :param request: the request.
        :param now: monotonic time in seconds.
        """
        unrefuted = self._by_content.unrefuted(request.content)
        unrefuted |= self._by_caller.unrefuted(request.caller)
        refuted = [
            TargetEnd(request, target, started_at_ms, refuted=True)
            for target, started_at_ms in sorted(unrefuted)
        ]
        return self.record(refuted, now)

    def is_poison(self, request: Fingerprint) -> bool:
        """Tell whether a request must not be sent to any target.

        :param request: the request.
        """
        return self.ended_targets(request) >= MAX_ENDED_TARGETS

    def ended_targets(self, request: Fingerprint) -> int:
        """Return how many targets ended that only this request explains.

        :param request: the request.
        """
        ended = self._by_caller.explained(request.caller)
        if len(self._callers.get(request.content, ())) < MIN_CALLERS:
            return ended
        return max(ended, self._by_content.explained(request.content))

    def changed_at(self, request: Fingerprint) -> float:
        """Return when an end under a request was last recorded or refuted.

        :param request: the request, which is known.
        :returns: monotonic time in seconds.
        """
        return max(
            self._by_caller.changed_at(request.caller),
            self._by_content.changed_at(request.content),
        )

    def targets_ended_under(self, request: Fingerprint) -> set[str]:
        """Return the names of targets that may have ended by a request.

        :param request: the request.
        """
        ends = self._by_content.unrefuted(request.content)
        ends |= self._by_caller.unrefuted(request.caller)
        return {target for target, _ in ends}

    def in_force(self) -> tuple[TargetEnd, ...]:
        """Return all ends, for instances that may not know them."""
        ends: list[TargetEnd] = []
        for content, callers in self._callers.items():
            for caller in sorted(callers):
                request = Fingerprint(content, caller)
                ends.extend(
                    TargetEnd(request, *ended, refuted=refuted)
                    for ended, refuted in self._by_caller.ends_of(caller)
                )
        return tuple(ends)

    def _add(self, end: TargetEnd, now: float) -> bool:
        ended = (end.target, end.target_started_at_ms)
        callers = self._callers.setdefault(end.request.content, set())
        callers.add(end.request.caller)
        is_new = self._by_caller.add(
            end.request.caller, ended, now, refuted=end.refuted
        )
        if is_new:
            self._by_content.add(
                end.request.content, ended, now, refuted=end.refuted
            )
        return is_new


class _Suspects:
    """Ended targets by request, and whether that they count is refuted."""

    def __init__(self) -> None:
        #: Requests in the order of their last change.
        self.ends: collections.OrderedDict[str, dict[_Incarnation, bool]] = (
            collections.OrderedDict()
        )
        self._changed_at: dict[str, float] = {}
        self._requests_by_target: dict[_Incarnation, set[str]] = {}

    def add(
        self, request: str, ended: _Incarnation, now: float, *, refuted: bool
    ) -> bool:
        """Add an ended target; tell whether that is new."""
        ends = self.ends.setdefault(request, {})
        self._changed_at.setdefault(request, now)
        known = ends.get(ended)
        if known is not None and known >= refuted:
            return False
        ends[ended] = refuted
        self._changed_at[request] = now
        self.ends.move_to_end(request)
        self._requests_by_target.setdefault(ended, set()).add(request)
        return True

    def changed_at(self, request: str) -> float:
        """Return when a request was last changed, in monotonic seconds."""
        return self._changed_at.get(request, float('-inf'))

    def ends_of(self, request: str) -> list[tuple[_Incarnation, bool]]:
        """Return the ended targets of a request, and if that is refuted."""
        return list(self.ends.get(request, {}).items())

    def unrefuted(self, request: str) -> set[_Incarnation]:
        """Return the ended targets that a request may be the cause of."""
        ends = self.ends.get(request, {})
        return {ended for ended, refuted in ends.items() if not refuted}

    def explained(self, request: str) -> int:
        """Return how many targets ended that only this request explains.

        An end that another request shares is explained by the one under which
        more targets have ended.
        """
        ends = self.unrefuted(request)
        return sum(
            all(
                len(self.unrefuted(other)) < len(ends)
                for other in self._requests_by_target[ended] - {request}
                if not self.ends[other][ended]
            )
            for ended in ends
        )

    def forget_old(self, now: float) -> list[str]:
        """Drop the oldest requests and return them."""
        forgotten: list[str] = []
        while self.ends:
            request = next(iter(self.ends))
            expired = now - self._changed_at[request] > REMEMBERED_S
            if not expired and len(self.ends) <= MAX_REQUESTS:
                break
            forgotten.append(request)
            self._changed_at.pop(request)
            for ended in self.ends.pop(request):
                requests = self._requests_by_target[ended]
                requests.discard(request)
                if not requests:
                    self._requests_by_target.pop(ended)
        return forgotten
