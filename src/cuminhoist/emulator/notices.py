"""Leaving notices that the entry instances and dispatchers of regions know."""

from collections.abc import Iterable

from ..steering.leaving_targets import (
    LAST_TARGET_FRACTION,
    LeavingTarget,
    LeavingTargets,
)
from ..steering.slot_lending import usable_entries
from ..steering.targets import TargetEntry

#: Time after a leaving notice from which on callers' requests must not reach
#: the target, in seconds.
DRAIN_S = 3.0


class RegionNotices:
    """Keeps the leaving notices of each region.

    :param regions: names of the regions.
    """

    def __init__(self, regions: Iterable[str]) -> None:
        self._leaving = {
            region: LeavingTargets(LAST_TARGET_FRACTION * DRAIN_S)
            for region in regions
        }
        self._passed_on_at: dict[tuple[str, str], float] = {}

    def record_answer(self, region: str, target: str, now: float) -> None:
        """Record that an answer with a notice was passed on to a caller.

        :param region: region of the caller.
        :param target: name of the target.
        :param now: simulated time, in seconds.
        """
        self._passed_on_at.setdefault((region, target), now)

    def is_late(self, region: str, target: str, asked_at: float) -> bool:
        """Tell whether a request was sent too long after a notice.

        :param region: region of the caller.
        :param target: name of the target that the request reaches.
        :param asked_at: simulated time at which it was sent, in seconds.
        """
        passed_on_at = self._passed_on_at.get((region, target), float('inf'))
        return asked_at > passed_on_at + DRAIN_S

    def add(
        self,
        region: str,
        notice: LeavingTarget,
        listed: Iterable[TargetEntry],
        now: float,
    ) -> bool:
        """Add a notice that a dispatcher gets; tell whether it is new.

        :param region: region of the dispatcher.
        :param notice: the notice.
        :param listed: the target list.
        :param now: simulated time, in seconds.
        """
        return bool(self._leaving[region].add((notice,), listed, now))

    def usable(
        self, region: str, listed: tuple[TargetEntry, ...], now: float
    ) -> list[TargetEntry]:
        """Return the targets that a dispatcher may use.

        :param region: region of the dispatcher.
        :param listed: the target list.
        :param now: simulated time, in seconds.
        """
        shown = self._leaving[region].apply(listed, now)
        return usable_entries(shown, frozenset())
