"""Targets that announce in their answers that they are about to stop.

The target list may show such a target as draining only seconds later, or not
at all. A notice therefore stands beside the list until the target is gone.
"""

from collections.abc import Iterable
from typing import Self

import msgspec

from ..fleet.instance_config import DeploymentLimits
from .targets import TargetEntry, TargetState

#: Time for which a notice outlives the last list that names its target, in
#: seconds. A single list may lack a target by an error of another writer.
UNLISTED_KEPT_S = 30.0
#: Fraction of the drain time for which the last warm target of a service still
#: gets requests. Grants on their way and new connections need the remainder.
LAST_TARGET_FRACTION = 0.5


class LeavingTarget(msgspec.Struct, frozen=True, array_like=True):
    """A notice that one incarnation of a target is about to stop.

    :param name: identity of the target.
    :param started_at_ms: Unix time of its start in milliseconds; 0 if it is
        unknown which incarnation sent the notice.
    """

    name: str
    started_at_ms: int = msgspec.field(name='born_ms', default=0)


class _Notice(msgspec.Struct):
    """A notice in force; times are monotonic, in seconds."""

    started_at_ms: int
    noticed_at: float
    listed_at: float


class LeavingTargets:
    """Keeps the notices in force and applies them to target lists.

    A notice ends when the list shows that the target has started anew, or no
    longer names it. An answer without the announcement ends nothing, as it may
    belong to a request that was sent earlier. A notice belongs to the identity
    of a target, because addresses are used again.

    :param last_target_s: time for which a target that leaves still gets
        requests while its service has no other target that is warm, in
        seconds.
    """

    def __init__(self, last_target_s: float = 0) -> None:
        self._last_target_s = last_target_s
        self._notices: dict[str, _Notice] = {}
        #: Next time at which a last target stops getting requests.
        self.next_stop_at = float('inf')

    @classmethod
    def from_limits(cls, limits: DeploymentLimits) -> Self:
        """Return an empty set of notices for a deployment.

        :param limits: limits of the deployment.
        """
        return cls(LAST_TARGET_FRACTION * limits.drain_s)

    def in_force(self) -> tuple[LeavingTarget, ...]:
        """Return all notices in force."""
        return tuple(
            LeavingTarget(name, notice.started_at_ms)
            for name, notice in self._notices.items()
        )

    def add(
        self,
        announced: Iterable[LeavingTarget],
        listed: Iterable[TargetEntry],
        now: float,
    ) -> tuple[LeavingTarget, ...]:
        """Add notices and return those that are new.

        :param announced: the notices.
        :param listed: the target list; it decides which notices are obsolete.
        :param now: monotonic time in seconds.
        """
        unknown = [one for one in announced if not self._is_known(one)]
        if not unknown:
            return ()
        starts = {entry.name: entry.started_at_ms for entry in listed}
        added = [
            one
            for one in unknown
            if not _is_later_start(starts.get(one.name, 0), one.started_at_ms)
        ]
        for one in added:
            self._notices[one.name] = _Notice(one.started_at_ms, now, now)
        return tuple(added)

    def end_obsolete(self, listed: Iterable[TargetEntry], now: float) -> None:
        """End the notices of targets that have started anew or are gone.

        :param listed: a newer target list.
        :param now: monotonic time in seconds.
        """
        if not self._notices:
            return
        entries = {entry.name: entry for entry in listed}
        for name, notice in list(self._notices.items()):
            entry = entries.get(name)
            if entry is None:
                if now - notice.listed_at > UNLISTED_KEPT_S:
                    self._notices.pop(name)
            elif _is_later_start(entry.started_at_ms, notice.started_at_ms):
                self._notices.pop(name)
            else:
                notice.listed_at = now
                # A notice of an unknown incarnation counts for the one that
                # the next list shows.
                notice.started_at_ms = (
                    notice.started_at_ms or entry.started_at_ms
                )

    def apply(
        self, listed: tuple[TargetEntry, ...], now: float
    ) -> tuple[TargetEntry, ...]:
        """Return the target list with the leaving targets as draining.

        :param listed: the target list.
        :param now: monotonic time in seconds.
        """
        self.next_stop_at = float('inf')
        if not self._notices:
            return listed
        served = {
            entry.service
            for entry in listed
            if entry.state is TargetState.ready
            and entry.name not in self._notices
            and entry.warmup_left_s <= 0
        }
        return tuple(
            msgspec.structs.replace(entry, state=TargetState.draining)
            if self._stops(entry, served, now)
            else entry
            for entry in listed
        )

    def _stops(self, entry: TargetEntry, served: set[str], now: float) -> bool:
        """Tell whether a notice takes a listed target out now."""
        notice = self._notices.get(entry.name)
        if notice is None:
            return False
        stop_at = notice.noticed_at + self._last_target_s
        if entry.service in served or now >= stop_at:
            return True
        self.next_stop_at = min(self.next_stop_at, stop_at)
        return False

    def _is_known(self, announced: LeavingTarget) -> bool:
        held = self._notices.get(announced.name)
        return held is not None and not _is_later_start(
            announced.started_at_ms, held.started_at_ms
        )


def _is_later_start(start_ms: int, known_ms: int) -> bool:
    """Tell whether a start is another, later one than a known start."""
    return bool(known_ms) and start_ms > known_ms
