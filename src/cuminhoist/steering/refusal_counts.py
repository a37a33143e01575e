"""Counts refused placement requests until they are read."""

import collections

import msgspec

from .decisions import PlacementRequest, RefusalReason


class RefusalKind(msgspec.Struct, frozen=True):
    """What refusals are counted by.

    :param has_waited: whether the request had waited before, for example
        because more urgent ones went before it.
    """

    service: str
    reason: RefusalReason
    priority: int
    has_waited: bool


class RefusalCounts:
    """Refused requests since they were last read."""

    def __init__(self) -> None:
        self._counts: collections.Counter[RefusalKind] = collections.Counter()

    def count(
        self,
        request: PlacementRequest,
        reason: RefusalReason,
        *,
        has_waited: bool,
    ) -> None:
        """Count a refused request.

        :param request: the request.
        :param reason: why it is refused.
        :param has_waited: whether it had waited.
        """
        kind = RefusalKind(
            request.service, reason, request.priority, has_waited
        )
        self._counts[kind] += 1

    def take(self) -> collections.Counter[RefusalKind]:
        """Return the counts and start again from zero."""
        counts = self._counts
        self._counts = collections.Counter()
        return counts
