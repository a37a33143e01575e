"""Differences between lists of targets, and lists put together from them."""

from collections.abc import Iterable

import msgspec

from ..steering.targets import TargetEntry
from .messages import TargetChanges, TargetList

#: The remaining cold time runs down by itself; a list that shows this much
#: more than before, in seconds, means that the target is cold again.
COLD_STEP_S = 0.3


def changes_between(
    before: Iterable[TargetEntry],
    after: Iterable[TargetEntry],
    age_s: float,
) -> TargetChanges:
    """Return what makes one list of another.

    :param before: the list that the receiver has.
    :param after: the newer list.
    :param age_s: time since the newer list was read, in seconds.
    """
    known = {entry.name: entry for entry in before}
    changed = []
    for entry in after:
        old = known.pop(entry.name, None)
        if old is None or _differs(old, entry):
            changed.append(entry)
    return TargetChanges(
        age_s=age_s,
        changed=tuple(changed),
        gone=tuple(known),
    )


class ListCopy:
    """The list of targets as one link has brought it."""

    def __init__(self) -> None:
        self._entries: dict[str, TargetEntry] | None = None

    def take(self, msg: TargetList | TargetChanges) -> TargetList | None:
        """Return the whole list after a message, if it is known.

        :param msg: a whole list, or changes of the one before.
        """
        if isinstance(msg, TargetList):
            self._entries = {entry.name: entry for entry in msg.targets}
            return msg
        if self._entries is None:
            return None
        for name in msg.gone:
            self._entries.pop(name, None)
        for entry in msg.changed:
            self._entries[entry.name] = entry
        return TargetList(
            age_s=msg.age_s,
            targets=tuple(self._entries.values()),
        )


def _differs(old: TargetEntry, new: TargetEntry) -> bool:
    if new.warmup_left_s > old.warmup_left_s + COLD_STEP_S:
        return True
    return new != msgspec.structs.replace(old, warmup_left_s=new.warmup_left_s)
