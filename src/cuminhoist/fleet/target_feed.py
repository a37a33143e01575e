"""The list of targets: read by one instance, passed on by the others."""

import abc
import asyncio
from collections.abc import Callable

from returns.result import Result, Success

from ..logging_setup import logger
from ..steering.targets import TargetEntry
from .messages import TargetList

#: How often the list is read, in seconds. A leaving target must get nothing
#: 3 s after the list shows it, also when the reader has just failed.
READ_S = 1.0
#: Each further instance waits this much longer for a list before it reads
#: the list itself, in seconds.
TAKEOVER_STEP_S = 0.6

_log = logger('targets')


class TargetSource(abc.ABC):
    """Reads the list of targets."""

    @abc.abstractmethod
    async def read(self) -> Result[tuple[TargetEntry, ...], str]:
        """Return all targets, or why they cannot be read."""


class TargetFeed:
    """Keeps the newest list of targets.

    :param source: reads the list.
    :param rank: returns the place of this instance among those that may
        read the list; 0 reads it, the others take over one by one.
    :param now: returns monotonic time in seconds.
    :param on_change: called with each newer list.
    """

    def __init__(
        self,
        source: TargetSource,
        rank: Callable[[], int],
        now: Callable[[], float],
        on_change: Callable[['TargetFeed'], None],
    ) -> None:
        self.entries: tuple[TargetEntry, ...] = ()
        self.read_at = float('-inf')
        self._source = source
        self._rank = rank
        self._now = now
        self._on_change = on_change
        self._available = True

    def message(self) -> TargetList:
        """Return the list as other instances get it."""
        return TargetList(
            age_s=self._now() - self.read_at,
            targets=self.entries,
        )

    def adopt(self, msg: TargetList) -> None:
        """Take a list that another instance has read, if it is newer.

        :param msg: the list.
        """
        self._replace(msg.targets, self._now() - msg.age_s)

    async def run(self) -> None:
        """Read the list whenever no other instance does."""
        while True:
            due = self.read_at + READ_S + TAKEOVER_STEP_S * self._rank()
            if self._now() < due:
                await asyncio.sleep(min(due - self._now(), TAKEOVER_STEP_S))
                continue
            began = self._now()
            read = await self._source.read()
            if isinstance(read, Success):
                self._note(available=True)
                self._replace(read.unwrap(), began)
            else:
                self._note(available=False, reason=read.failure())
                await asyncio.sleep(TAKEOVER_STEP_S)

    def _replace(self, entries: tuple[TargetEntry, ...], at: float) -> None:
        # A list that is passed on seems older by its way, so the same list
        # may arrive again with a slightly different time.
        if at <= self.read_at + 0.01:
            return
        changed = set(entries) != set(self.entries)
        if changed:
            _log_changes(self.entries, entries)
        self.entries = entries
        self.read_at = at
        self._on_change(self)

    def _note(self, *, available: bool, reason: str = '') -> None:
        if available != self._available:
            self._available = available
            state = 'regained' if available else 'lost'
            _log.bind(dependency='target list', reason=reason).info(state)


def _log_changes(
    before: tuple[TargetEntry, ...],
    after: tuple[TargetEntry, ...],
) -> None:
    known = {entry.name: entry for entry in before}
    for entry in after:
        old = known.pop(entry.name, None)
        if old is None or (old.state, old.started_at_ms) != (
            entry.state,
            entry.started_at_ms,
        ):
            _log.bind(
                target=entry.name,
                service=entry.service,
                domain=entry.domain,
                state=entry.state,
                cold_s=entry.warmup_left_s,
            ).info('target listed')
    for name in known:
        _log.bind(target=name).info('target gone')
