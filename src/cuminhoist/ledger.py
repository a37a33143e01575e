"""Sums the accounts of many instances and their incarnations.

An instance that crashes loses its accounts, so the entry instances of a failure
domain keep copies of each other's snapshots. Copies may arrive late, twice or
out of order, and must be counted once.
"""

from collections.abc import Collection, Iterable, Iterator

import msgspec

from .account_records import (
    AccountLine,
    AccountSnapshot,
    OpenedLine,
    Outcome,
    PromiseLine,
)
from .entitlements import CallerService

#: An instance and one of its incarnations.
InstanceIncarnation = tuple[str, str]
#: Ended incarnations that are kept: three days of 650 restarts a day.
MAX_ENDED_LIVES = 2000

_LineKey = tuple[str, str, str, Outcome, str]


class KnownIncarnation(msgspec.Struct, frozen=True):
    """Progress of the newest snapshot that a ledger has of an incarnation.

    :param progress: grows from each snapshot of the incarnation to the next.
    """

    instance: str
    incarnation: str
    progress: tuple[int, int, float]


class AccountLedger:
    """Sums the snapshots of many instances.

    Snapshots may arrive late, twice or out of order: only the newest snapshot
    of each incarnation is in the sums. Accounts of an incarnation only grow,
    so the larger one of two snapshots is the newer one.

    :param max_ended: number of ended incarnations that are kept.
    """

    def __init__(self, max_ended: int = MAX_ENDED_LIVES) -> None:
        self._max_ended = max_ended
        self._snapshots: dict[InstanceIncarnation, AccountSnapshot] = {}
        self._incarnations: dict[str, set[InstanceIncarnation]] = {}
        self._current_incarnations: dict[str, str] = {}
        self._silent_instances: set[str] = set()
        self._dropped_incarnations: dict[InstanceIncarnation, None] = {}
        #: Number of ended incarnations dropped because of the limit.
        self.dropped_count = 0

    def merge(self, snapshots: Iterable[AccountSnapshot]) -> None:
        """Add snapshots to the sums.

        :param snapshots: snapshots of any instances.
        """
        for snapshot in snapshots:
            key = (snapshot.instance, snapshot.incarnation)
            previous = self._snapshots.get(key)
            if key in self._dropped_incarnations:
                continue
            if previous is None or _progress(previous) < _progress(snapshot):
                self._snapshots[key] = snapshot
                self._incarnations.setdefault(snapshot.instance, set()).add(key)
        self._drop_oldest()

    def mark_replied(self, instance: str, incarnation: str) -> None:
        """Record that an instance replied, and its current incarnation.

        :param instance: name of the instance.
        :param incarnation: identity of its process.
        """
        self._current_incarnations[instance] = incarnation
        self._silent_instances.discard(instance)

    def mark_silent(self, instance: str) -> None:
        """Record that an instance did not reply.

        :param instance: name of the instance.
        """
        self._silent_instances.add(instance)

    def progress_of(
        self, instances: Collection[str]
    ) -> tuple[KnownIncarnation, ...]:
        """Return the progress of each known incarnation of some instances.

        :param instances: names of the instances.
        """
        return tuple(
            KnownIncarnation(key[0], key[1], _progress(snapshot))
            for key, snapshot in self._snapshots_of(instances)
        )

    def missing_snapshots(
        self,
        instances: Collection[str],
        known: Iterable[KnownIncarnation],
        *,
        with_current: bool,
    ) -> tuple[AccountSnapshot, ...]:
        """Return the snapshots that another ledger lacks.

        :param instances: names of the instances of interest.
        :param known: progress of their incarnations in the other ledger.
        :param with_current: also return snapshots of current incarnations.
        """
        known_progress = {
            (key.instance, key.incarnation): key.progress for key in known
        }
        return tuple(
            snapshot
            for key, snapshot in self._snapshots_of(instances)
            if (with_current or not self.is_current(key))
            and (
                key not in known_progress
                or known_progress[key] < _progress(snapshot)
            )
        )

    def is_current(self, key: InstanceIncarnation) -> bool:
        """Return whether an incarnation replied to the last query.

        :param key: instance and incarnation.
        """
        instance, incarnation = key
        is_last = self._current_incarnations.get(instance) == incarnation
        return is_last and instance not in self._silent_instances

    def lines(self) -> tuple[AccountLine, ...]:
        """Return the account lines, summed over all incarnations."""
        sums: dict[_LineKey, tuple[int, float]] = {}
        for snapshot in self._snapshots.values():
            for line in snapshot.lines:
                key = _key_of(line)
                count, weight = sums.get(key, (0, float(0)))
                sums[key] = (count + line.count, weight + line.weight)
        return tuple(
            AccountLine(*names, count, weight)
            for names, (count, weight) in sorted(sums.items())
        )

    def promises(self) -> tuple[PromiseLine, ...]:
        """Return the promised weights, summed over all incarnations."""
        sums: dict[CallerService, float] = {}
        for snapshot in self._snapshots.values():
            for promise in snapshot.promises:
                pair = (promise.caller, promise.service)
                sums[pair] = sums.get(pair, 0) + promise.weight
        return tuple(
            PromiseLine(caller, service, weight)
            for (caller, service), weight in sorted(sums.items())
        )

    def open_requests(self, *, current: bool) -> tuple[OpenedLine, ...]:
        """Return requests without an outcome by caller and service.

        :param current: whether to count current incarnations; otherwise, ended
            and silent ones, whose outcomes may never become known.
        """
        sums: dict[CallerService, int] = {}
        for key, snapshot in self._snapshots.items():
            if self.is_current(key) != current:
                continue
            for opened in snapshot.opened:
                pair = (opened.caller, opened.service)
                sums[pair] = sums.get(pair, 0) + opened.count
            for line in snapshot.lines:
                pair = (line.caller, line.service)
                sums[pair] = sums.get(pair, 0) - line.count
        return tuple(
            OpenedLine(caller, service, count)
            for (caller, service), count in sorted(sums.items())
            if count > 0
        )

    def _snapshots_of(
        self,
        instances: Collection[str],
    ) -> Iterator[tuple[InstanceIncarnation, AccountSnapshot]]:
        for name in instances:
            for key in self._incarnations.get(name, ()):
                yield key, self._snapshots[key]

    def _drop_oldest(self) -> None:
        if len(self._snapshots) <= len(self._incarnations) + self._max_ended:
            return
        # A silent instance may reply again, so its last incarnation is kept.
        ended = [
            key
            for key in self._snapshots
            if self._current_incarnations.get(key[0], key[1]) != key[1]
        ]
        for key in ended[: max(len(ended) - self._max_ended, 0)]:
            del self._snapshots[key]
            self._incarnations[key[0]].remove(key)
            self._dropped_incarnations[key] = None
            self.dropped_count += 1
        # A late snapshot of a dropped incarnation must not count as a new one.
        for key in tuple(self._dropped_incarnations)[: -self._max_ended]:
            del self._dropped_incarnations[key]


def _key_of(line: AccountLine) -> _LineKey:
    return (line.caller, line.service, line.kind, line.outcome, line.reason)


def _progress(snapshot: AccountSnapshot) -> tuple[int, int, float]:
    return (
        sum(line.count for line in snapshot.lines),
        snapshot.open_tickets,
        sum(promise.weight for promise in snapshot.promises),
    )
