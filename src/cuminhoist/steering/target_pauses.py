"""Remembers which targets asked an entry instance to send them nothing.

A target that is overloaded, or that gets more than its share from one entry
instance, turns a request away and names the time for which it wants no
further request from that instance.
"""

from collections.abc import Mapping

import msgspec

from .targets import TargetEntry
from .tracked_target import TrackedTarget

#: Interval at which expired pauses are dropped, in seconds.
PRUNE_INTERVAL_S = 1.0


class TargetPause(msgspec.Struct, frozen=True, array_like=True):
    """A pause as entry instances repeat it to a new dispatcher.

    :param target: name of the target.
    :param target_started_at_ms: Unix time of its start in milliseconds; 0 if
        unknown.
    :param left_s: time until the pause ends, in seconds.
    """

    target: str
    target_started_at_ms: int
    left_s: float


class _Pause(msgspec.Struct, frozen=True):
    started_at_ms: int
    ends_at: float


class TargetPauses:
    """Pauses that targets asked of one entry instance."""

    def __init__(self) -> None:
        self._by_target: dict[str, _Pause] = {}
        self._pruned_at = float('-inf')

    def __len__(self) -> int:
        """Return the number of pauses, some of which may have expired."""
        return len(self._by_target)

    def record(self, pause: TargetPause, now: float) -> None:
        """Record a pause; a shorter one does not end one that lasts longer.

        :param pause: the pause.
        :param now: monotonic time in seconds.
        """
        self._prune(now)
        started_at_ms = pause.target_started_at_ms
        ends_at = now + pause.left_s
        known = self._by_target.get(pause.target)
        if known is not None:
            if _is_restart(started_at_ms, known.started_at_ms):
                return
            if not _is_restart(known.started_at_ms, started_at_ms):
                started_at_ms = max(started_at_ms, known.started_at_ms)
                ends_at = max(ends_at, known.ends_at)
        self._by_target[pause.target] = _Pause(started_at_ms, ends_at)

    def left_s(self, target: TargetEntry, now: float) -> float:
        """Return the time until a target may be sent requests, in seconds.

        :param target: the target; its restart has ended earlier pauses.
        :param now: monotonic time in seconds.
        """
        pause = self._by_target.get(target.name)
        if pause is None:
            return 0
        if _is_restart(pause.started_at_ms, target.started_at_ms):
            return 0
        return max(pause.ends_at - now, 0)

    def shortest_left_s(
        self,
        targets: Mapping[str, TrackedTarget],
        regions: frozenset[str],
        now: float,
    ) -> float:
        """Return the time until the first paused target may be used again.

        :param targets: the targets of a service by name.
        :param regions: regions of the targets that count; empty for all.
        :param now: monotonic time in seconds.
        :returns: seconds; infinite if none of the targets is paused.
        """
        paused = (targets[name] for name in self._by_target if name in targets)
        left_s = (
            self.left_s(target.entry, now)
            for target in paused
            if target.pool.slots > 0
            and (not regions or target.region in regions)
        )
        return min((left for left in left_s if left), default=float('inf'))

    def unexpired(self, now: float) -> tuple[TargetPause, ...]:
        """Return the pauses that have not ended.

        :param now: monotonic time in seconds.
        """
        return tuple(
            TargetPause(name, pause.started_at_ms, pause.ends_at - now)
            for name, pause in self._by_target.items()
            if pause.ends_at > now
        )

    def _prune(self, now: float) -> None:
        if now - self._pruned_at < PRUNE_INTERVAL_S:
            return
        self._pruned_at = now
        self._by_target = {
            name: pause
            for name, pause in self._by_target.items()
            if pause.ends_at > now
        }


#: For entry instances that no target asked for a pause; never written to.
NO_PAUSES = TargetPauses()


def _is_restart(former_start_ms: int, start_ms: int) -> bool:
    """Tell whether a start is a later one; unknown starts are the same."""
    return 0 < former_start_ms < start_ms


class PausesByInstance(dict[str, TargetPauses]):
    """Pauses that targets asked for, by entry instance."""

    def of(self, entry_instance: str) -> TargetPauses:
        """Return the pauses of an entry instance.

        :param entry_instance: the entry instance.
        """
        return self.get(entry_instance, NO_PAUSES)
