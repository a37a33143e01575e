"""Keeps the limits that targets name on the requests they take.

A target in need names in its answers how many requests per second it takes
from all instances together. Only the dispatcher of its own region sends it
requests then, and entry instances of that region that decide themselves share
a part of the limit.
"""

import random
from collections.abc import Iterable

import msgspec

from .targets import TargetEntry

#: Fraction of a limit that the dispatcher of the target's region uses. Two of
#: them may decide for a while when one replaces the other, and targets
#: tolerate one and a half times the limit for some seconds.
DISPATCHER_FRACTION = 0.75
#: Fraction of a limit that the entry instances of the region use together
#: while they decide themselves.
LOCAL_FRACTION = 0.4

#: Least rate of requests to a target that names a limit, per second. Only its
#: answers tell that the limit has ended.
MIN_RATE_PER_S = 0.2

UNLIMITED = float('inf')


class TargetLimit(msgspec.Struct, frozen=True, array_like=True):
    """The limit of one incarnation of a target.

    :param target: name of the target.
    :param target_started_at_ms: Unix time of its start in milliseconds; 0 if
        unknown.
    :param per_s: requests per second; None if it no longer names a limit.
    """

    target: str
    target_started_at_ms: int
    per_s: float | None


class _Known(msgspec.Struct, frozen=True):
    """A limit in force.

    :param named_at: when the last answer with it arrived, in monotonic
        seconds.
    """

    started_at_ms: int
    per_s: float
    named_at: float


class TargetLimits:
    """Limits in force, by target."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}

    def per_s(self, entry: TargetEntry) -> float:
        """Return the limit of a target, in requests per second.

        :param entry: the target; its restart has ended an earlier limit.
        """
        known = self._known.get(entry.name)
        if known is None:
            return UNLIMITED
        if 0 < known.started_at_ms < entry.started_at_ms:
            return UNLIMITED
        return max(known.per_s, MIN_RATE_PER_S)

    def in_force(self) -> tuple[TargetLimit, ...]:
        """Return all limits, for instances that may not know them."""
        return tuple(
            TargetLimit(name, known.started_at_ms, known.per_s)
            for name, known in self._known.items()
        )

    def record_answer(
        self, limit: TargetLimit, sent_at: float, now: float
    ) -> bool:
        """Record what an answer tells; return whether the limit changes.

        An answer without a limit ends one only if its request was sent after
        the last answer with it. An earlier request may have been answered
        before the target was in need.

        :param limit: the limit that the answer names, if any.
        :param sent_at: when the request was sent, in monotonic seconds.
        :param now: monotonic time in seconds.
        """
        known = self._known.get(limit.target)
        if limit.per_s is None:
            if known is None or sent_at <= known.named_at:
                return False
            return self.apply(limit, now)
        return self.apply(limit, now)

    def apply(self, limit: TargetLimit, now: float) -> bool:
        """Apply a change of a limit; return whether it is new.

        :param limit: the limit.
        :param now: monotonic time in seconds.
        """
        known = self._known.get(limit.target)
        if (
            known is not None
            and 0 < limit.target_started_at_ms < known.started_at_ms
        ):
            # It comes from an instance whose list shows a former start.
            return False
        if limit.per_s is None:
            return self._known.pop(limit.target, None) is not None
        self._known[limit.target] = _Known(
            limit.target_started_at_ms, limit.per_s, now
        )
        return known is None or (known.started_at_ms, known.per_s) != (
            limit.target_started_at_ms,
            limit.per_s,
        )

    def forget_unlisted(self, listed: Iterable[str]) -> None:
        """Drop the limits of targets that are gone.

        :param listed: names of all listed targets; none if there is no list.
        """
        names = set(listed)
        if names:
            for name in self._known.keys() - names:
                self._known.pop(name)


class RequestRate:
    """Lets at most a number of requests per second start at a target.

    Requests may not be saved up, so that a dispatcher that takes over sends
    no burst.

    :param per_s: requests per second.
    :param now: monotonic time in seconds.
    """

    def __init__(self, per_s: float, now: float) -> None:
        self.per_s = per_s
        self._tokens = float(0)
        self._updated_at = now

    def change(self, per_s: float, now: float) -> None:
        """Change the rate.

        :param per_s: requests per second.
        :param now: monotonic time in seconds.
        """
        self._update(now)
        self.per_s = per_s

    def wait_s(self, now: float) -> float:
        """Return the time until a request may start, in seconds.

        :param now: monotonic time in seconds.
        """
        self._update(now)
        missing = max(1 - self._tokens, 0)
        if not missing:
            return 0
        return missing / self.per_s if self.per_s else float('inf')

    def start(self, now: float) -> None:
        """Count a request that starts.

        :param now: monotonic time in seconds.
        """
        self._update(now)
        self._tokens -= 1

    def restart(self, now: float) -> None:
        """Forget the time in which another dispatcher has decided.

        Many instances may begin to decide at the same time. A random part of
        the first request keeps them from sending theirs together.

        :param now: monotonic time in seconds.
        """
        self._tokens = random.random()  # noqa: S311
        self._updated_at = now

    def _update(self, now: float) -> None:
        passed_s = max(now - self._updated_at, 0)
        self._updated_at = now
        self._tokens = min(self._tokens + passed_s * self.per_s, 1)
