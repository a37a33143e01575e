"""Deltas between target lists, and their application to a copy.

A control instance reads the list of hundreds of targets each second, so it
sends entry instances the whole list once and then deltas.
"""

from collections.abc import Iterable

import msgspec

from ..rendezvous import hash64
from ..steering.targets import TargetEntry
from .messages import TargetChanges, TargetList

#: The remaining warm-up time falls as time passes. A rise of more than this,
#: in seconds, means that the target is warming up again.
WARMUP_RISE_S = 0.3


def changes_between(
    before: Iterable[TargetEntry],
    after: Iterable[TargetEntry],
    age_s: float,
) -> TargetChanges:
    """Return the delta between two target lists.

    A mere fall of the remaining warm-up time is no change.

    :param before: list that the receiver has.
    :param after: newer list.
    :param age_s: time since the newer list was read, in seconds.
    """
    remaining = {entry.name: entry for entry in before}
    changed = []
    for entry in after:
        old = remaining.pop(entry.name, None)
        if old is None or _is_changed(old, entry):
            changed.append(entry)
    return TargetChanges(
        age_s=age_s,
        changed=tuple(changed),
        gone=tuple(remaining),
    )


def list_digest(entries: Iterable[TargetEntry]) -> int:
    """Return a digest of a target list, equal in all processes.

    The remaining warm-up time and the order of the list do not count.

    :param entries: the list.
    """
    return hash64(
        *sorted(
            f'{entry.name} {entry.service} {entry.address} {entry.domain} '
            f'{entry.slots} {entry.state} {entry.started_at_ms}'
            for entry in entries
        )
    )


class ListCopy:
    """Copy of the target list that is received on one link.

    Deltas leave out the fall of the remaining warm-up time, so the copy
    counts it down.
    """

    def __init__(self) -> None:
        self._entries: dict[str, TargetEntry] | None = None
        #: End of the warm-up by target, in monotonic seconds.
        self._warm_at: dict[str, float] = {}

    def digest(self) -> int:
        """Return the digest of the list; 0 if there is none."""
        if self._entries is None:
            return 0
        return list_digest(self._entries.values())

    def apply(
        self, msg: TargetList | TargetChanges, now: float
    ) -> TargetList | None:
        """Apply a message and return the complete list.

        Returns nothing for a delta that arrives before any complete list.

        :param msg: a complete list, or a delta to the list before.
        :param now: monotonic time in seconds.
        """
        read_at = now - msg.age_s
        if isinstance(msg, TargetList):
            self._entries = {}
            self._warm_at = {}
            self._put(self._entries, msg.targets, read_at)
            return msg
        if self._entries is None:
            return None
        for name in msg.gone:
            self._entries.pop(name, None)
            self._warm_at.pop(name, None)
        self._put(self._entries, msg.changed, read_at)
        self._count_down(self._entries, read_at)
        return TargetList(
            age_s=msg.age_s,
            targets=tuple(self._entries.values()),
        )

    def _put(
        self,
        entries: dict[str, TargetEntry],
        changed: Iterable[TargetEntry],
        read_at: float,
    ) -> None:
        for entry in changed:
            entries[entry.name] = entry
            self._warm_at.pop(entry.name, None)
            if entry.warmup_left_s > 0:
                self._warm_at[entry.name] = read_at + entry.warmup_left_s

    def _count_down(
        self, entries: dict[str, TargetEntry], read_at: float
    ) -> None:
        for name, warm_at in list(self._warm_at.items()):
            entries[name] = msgspec.structs.replace(
                entries[name], warmup_left_s=max(warm_at - read_at, 0)
            )
            if warm_at <= read_at:
                self._warm_at.pop(name)


def _is_changed(old: TargetEntry, new: TargetEntry) -> bool:
    if new.warmup_left_s > old.warmup_left_s + WARMUP_RISE_S:
        return True
    return new != msgspec.structs.replace(old, warmup_left_s=new.warmup_left_s)
