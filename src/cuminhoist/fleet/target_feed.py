"""Feed of the target list: one instance reads it and sends it to the others.

The instance with rank 0 reads the list every second. If no newer list arrives,
the others take over in the order of their ranks, 0.6 s apart.
"""

import abc
import asyncio
import random
from collections.abc import Callable, Iterable

import msgspec
from prometheus_client import CollectorRegistry
from returns.result import Result, Success

from ..logging_setup import logger
from ..steering.leaving_targets import LeavingTarget, LeavingTargets
from ..steering.targets import MAX_NAME_CHARS, TargetEntry
from .instance_config import DeploymentLimits
from .messages import LeavingNotice, TargetList
from .rejected_entries import RejectedEntry, RejectedEntryLog

#: Interval between reads, in seconds. A leaving target must get no requests
#: from 3 s after the list shows it, even if the reading instance has just
#: failed.
READ_INTERVAL_S = 1.0
#: Additional time for each rank that an instance waits for a list before it
#: reads the list itself, in seconds.
TAKEOVER_DELAY_S = 0.6
#: Interval in which an instance that has just started checks its rank, in
#: seconds: ranks are known once the first links are.
FIRST_RANK_POLL_S = 0.05
#: Time after the start of an instance in which requests wait for its first
#: list, in seconds: the first reader and the next two have tried by then.
FIRST_LIST_S = READ_INTERVAL_S + 2 * TAKEOVER_DELAY_S
#: Age from which a list counts as stale, in seconds: several reads have failed
#: or have not arrived.
STALE_LIST_S = 3.0
#: Shortest time without a target list from a control instance before an entry
#: instance reads the list itself, in seconds.
MIN_OWN_READ_PAUSE_S = 3.0
#: Fraction of the call limit of the target list that all entry instances use
#: together.
OWN_READ_FRACTION = 0.3
#: Targets on one page of the list.
PAGE_TARGET_COUNT = 50

_log = logger('targets')


class ListReading(msgspec.Struct, frozen=True):
    """The list as it was read.

    :param targets: the targets.
    :param rejected: the entries that were left out.
    """

    targets: tuple[TargetEntry, ...]
    rejected: tuple[RejectedEntry, ...] = ()


class TargetSource(abc.ABC):
    """Reads the list of targets."""

    @abc.abstractmethod
    async def read(self) -> Result[ListReading, str]:
        """Return the list, or the reason why the read failed."""


class TargetFeed:
    """Keeps the newest list of targets and the notices of leaving targets.

    ``listed`` is the list as it was read, which other instances get.
    ``entries`` is the list to decide by: a target that has announced its stop
    counts as draining there. ``on_rejected`` is called with the entries that
    are left out of a list, if any.

    :param source: reads the list.
    :param rank: returns the place of this instance in the order of take-over;
        0 reads the list while it is available.
    :param now: returns monotonic time in seconds.
    :param on_change: called with each newer list.
    :param limits: limits of the deployment; the defaults if left out.
    """

    def __init__(
        self,
        source: TargetSource,
        rank: Callable[[], int],
        now: Callable[[], float],
        on_change: Callable[['TargetFeed'], None],
        limits: DeploymentLimits | None = None,
    ) -> None:
        self.listed: tuple[TargetEntry, ...] = ()
        self.entries: tuple[TargetEntry, ...] = ()
        self.read_at = float('-inf')
        self._source = source
        self._rank = rank
        self._now = now
        self._on_change = on_change
        self.on_rejected: Callable[[tuple[RejectedEntry, ...]], None] = (
            _ignore_rejected
        )
        self._leaving = LeavingTargets.from_limits(limits or DeploymentLimits())
        self._available = True

    def report_rejected(self, registry: CollectorRegistry) -> None:
        """Count and log the entries that are left out.

        :param registry: registry of the counter.
        """
        self.on_rejected = RejectedEntryLog.from_registry(
            registry, self._now
        ).record

    def to_message(self) -> TargetList:
        """Return the message that carries the list to other instances."""
        return TargetList(
            age_s=self._now() - self.read_at,
            targets=self.listed,
        )

    def apply_list(self, msg: TargetList) -> None:
        """Apply a list that another instance has read, if it is newer.

        :param msg: the list.
        """
        self._replace(msg.targets, self._now() - msg.age_s)

    def is_stale(self) -> bool:
        """Tell whether the list is too old to tell one start from the next."""
        return self._now() - self.read_at > STALE_LIST_S

    def leaving_notice(self) -> LeavingNotice:
        """Return the message that carries all notices in force."""
        return LeavingNotice(targets=self._leaving.in_force())

    def add_leaving(
        self, announced: Iterable[LeavingTarget]
    ) -> tuple[LeavingTarget, ...]:
        """Add notices of leaving targets and return those that are new.

        :param announced: the notices.
        """
        added = self._leaving.add(announced, self.listed, self._now())
        if added:
            self._apply_leaving()
        return added

    def stop_last_targets(self) -> bool:
        """Take out last targets of a service whose time is up, if any."""
        if self._now() < self._leaving.next_stop_at:
            return False
        self._apply_leaving()
        return True

    async def run(self) -> None:
        """Read the list whenever it is due, until cancelled.

        At the start only the first instance reads it at once; the others wait
        for its list as long as they would for any later one.
        """
        started_at = self._now()
        while True:
            due_at = (
                max(self.read_at + READ_INTERVAL_S, started_at)
                + TAKEOVER_DELAY_S * self._rank()
            )
            if self._now() < due_at:
                await asyncio.sleep(
                    min(due_at - self._now(), self._poll_s(started_at))
                )
                continue
            reading_since = self._now()
            result = await self._source.read()
            if isinstance(result, Success):
                self._set_available(available=True)
                reading = result.unwrap()
                if reading.rejected:
                    self.on_rejected(reading.rejected)
                self._replace(reading.targets, reading_since)
            else:
                self._set_available(available=False, reason=result.failure())
                await asyncio.sleep(TAKEOVER_DELAY_S)

    def _poll_s(self, started_at: float) -> float:
        """Return after which time the rank is looked at again, in seconds.

        A rank may be drawn anew each time, so that one that is looked at more
        often is due sooner.

        :param started_at: when the feed was started, in monotonic seconds.
        """
        is_starting = self._now() - started_at < TAKEOVER_DELAY_S
        has_list = self.read_at > float('-inf')
        return (
            FIRST_RANK_POLL_S
            if is_starting and not has_list
            else TAKEOVER_DELAY_S
        )

    def _replace(
        self, entries: tuple[TargetEntry, ...], read_at: float
    ) -> None:
        # The time in transit is missing from the age of a received list, so a
        # list that arrives twice has slightly different read times. A list
        # less than 0.01 s newer counts as a repetition.
        if read_at <= self.read_at + 0.01:
            return
        entries = self._in_range(entries)
        if set(entries) != set(self.listed):
            _log_changes(self.listed, entries)
        self.listed = entries
        self.read_at = read_at
        self._leaving.end_obsolete(entries, self._now())
        self._apply_leaving()
        self._on_change(self)

    def _in_range(
        self, entries: tuple[TargetEntry, ...]
    ) -> tuple[TargetEntry, ...]:
        """Return the entries that can be used and passed on.

        An instance with an older version may send others.
        """
        added = set(entries).difference(self.listed)
        faults = {entry: entry.fault() for entry in added if entry.fault()}
        if not faults:
            return entries
        self.on_rejected(
            tuple(
                RejectedEntry(entry.name[:MAX_NAME_CHARS], 'received', fault)
                for entry, fault in faults.items()
            )
        )
        return tuple(entry for entry in entries if entry not in faults)

    def _apply_leaving(self) -> None:
        self.entries = self._leaving.apply(self.listed, self._now())

    def _set_available(self, *, available: bool, reason: str = '') -> None:
        if available != self._available:
            self._available = available
            state = 'regained' if available else 'lost'
            _log.bind(dependency='target list', reason=reason).info(state)


def entry_read_rank(
    target_count: int, entry_count: int, calls_per_s: float
) -> int:
    """Return the rank with which an entry instance reads the list itself.

    It does so only while no control instance sends the list. The pause grows
    with the number of entry instances and pages, so that all together stay
    below ``OWN_READ_FRACTION`` of the call limit.

    :param target_count: number of listed targets.
    :param entry_count: number of entry instances.
    :param calls_per_s: call limit of the list, in calls a second.
    """
    page_count = target_count // PAGE_TARGET_COUNT + 1
    limit = max(OWN_READ_FRACTION * calls_per_s, 1)
    pause_s = max(MIN_OWN_READ_PAUSE_S, entry_count * page_count / limit)
    spread = random.uniform(1, 1.5)  # noqa: S311
    return round(pause_s * spread / TAKEOVER_DELAY_S)


def _ignore_rejected(_rejected: tuple[RejectedEntry, ...]) -> None:
    """Drop the report of entries that were left out."""


def _log_changes(
    before: tuple[TargetEntry, ...],
    after: tuple[TargetEntry, ...],
) -> None:
    unlisted = {entry.name: entry for entry in before}
    for entry in after:
        old = unlisted.pop(entry.name, None)
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
    for name in unlisted:
        _log.bind(target=name).info('target gone')
