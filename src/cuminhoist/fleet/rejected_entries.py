"""Counts and logs the entries that are left out of the list of targets."""

import collections
from collections.abc import Callable
from typing import Self

import msgspec
from prometheus_client import CollectorRegistry, Counter

from ..logging_setup import logger

#: Interval between two lines about the same entries, in seconds. An odd entry
#: stays on the list, which is read once a second.
REPEAT_INTERVAL_S = 60.0
#: Entries that one line names.
LOGGED_ENTRIES = 5

_log = logger('targets')


class RejectedEntry(msgspec.Struct, frozen=True):
    """An entry of the list that names no target to use.

    :param name: its id, shortened and printable.
    :param kind: kind of the fault; one of few.
    :param fault: what is wrong with it.
    """

    name: str
    kind: str
    fault: str


class RejectedEntryLog:
    """Counts all entries that are left out and logs some of them.

    Each reading gives one line at most, and none while the same entries stay.

    :param counter: counts the entries by kind of fault.
    :param now: returns monotonic time in seconds.
    """

    def __init__(self, counter: Counter, now: Callable[[], float]) -> None:
        self._counter = counter
        self._now = now
        self._logged: frozenset[RejectedEntry] = frozenset()
        self._logged_at = float('-inf')

    @classmethod
    def from_registry(
        cls, registry: CollectorRegistry, now: Callable[[], float]
    ) -> Self:
        """Return a log whose counter is one of an instance's metrics.

        :param registry: registry of the metrics.
        :param now: returns monotonic time in seconds.
        """
        counter = Counter(
            'cuminhoist_rejected_list_entries',
            'Entries left out of the list of targets, by kind of fault. An '
            'entry counts once for each reading.',
            ('kind',),
            registry=registry,
        )
        return cls(counter, now)

    def record(self, rejected: tuple[RejectedEntry, ...]) -> None:
        """Record the entries left out of one reading.

        :param rejected: the entries.
        """
        counts = collections.Counter(entry.kind for entry in rejected)
        for kind, count in counts.items():
            self._counter.labels(kind).inc(count)
        if self._now() - self._logged_at >= REPEAT_INTERVAL_S:
            self._logged = frozenset()
        new = [entry for entry in rejected if entry not in self._logged]
        if not new:
            return
        self._logged = frozenset(rejected)
        self._logged_at = self._now()
        log_rejected(
            count=len(rejected),
            entries=[
                f'{entry.name}: {entry.fault}' for entry in new[:LOGGED_ENTRIES]
            ],
        )


def log_rejected(**fields: object) -> None:
    """Write the line of entries that are left out.

    :param fields: their number, and some of them.
    """
    _log.bind(**fields).warning('odd entries left out of the target list')
