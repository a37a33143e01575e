"""Sums of the accounts of many instances."""

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
#: Ended lives that are kept; three days of 650 restarts.
MAX_ENDED_LIVES = 2000

_LineKey = tuple[str, str, str, Outcome, str]


class KnownIncarnation(msgspec.Struct, frozen=True):
    """How much a ledger holds of a life.

    :param progress: grows from each snapshot of the life to the next.
    """

    instance: str
    incarnation: str
    progress: tuple[int, int, float]


class AccountLedger:
    """Sums the snapshots of many instances.

    Snapshots may arrive late, twice or out of order: of each life of an
    instance, the newest snapshot counts. Figures of a life only grow, so
    they tell which of two snapshots is newer.

    :param max_ended: how many ended lives are kept.
    """

    def __init__(self, max_ended: int = MAX_ENDED_LIVES) -> None:
        self._max_ended = max_ended
        self._snapshots: dict[InstanceIncarnation, AccountSnapshot] = {}
        self._lives: dict[str, set[InstanceIncarnation]] = {}
        self._current: dict[str, str] = {}
        self._silent: set[str] = set()
        self._dropped: dict[InstanceIncarnation, None] = {}
        #: Ended lives that were dropped at the limit.
        self.dropped = 0

    def merge(self, snapshots: Iterable[AccountSnapshot]) -> None:
        """Take snapshots into the sums.

        :param snapshots: from any instances.
        """
        for snapshot in snapshots:
            life = (snapshot.instance, snapshot.incarnation)
            held = self._snapshots.get(life)
            if life in self._dropped:
                continue
            if held is None or _progress(held) < _progress(snapshot):
                self._snapshots[life] = snapshot
                self._lives.setdefault(snapshot.instance, set()).add(life)
        self._drop_oldest()

    def answered(self, instance: str, incarnation: str) -> None:
        """Note the current life of an instance, as it says itself.

        :param instance: name of the instance.
        :param incarnation: identity of its process.
        """
        self._current[instance] = incarnation
        self._silent.discard(instance)

    def silent(self, instance: str) -> None:
        """Note that an instance did not answer.

        :param instance: name of the instance.
        """
        self._silent.add(instance)

    def known(self, instances: Collection[str]) -> tuple[KnownIncarnation, ...]:
        """Return how much is held of the lives of some instances.

        :param instances: their names.
        """
        return tuple(
            KnownIncarnation(life[0], life[1], _progress(snapshot))
            for life, snapshot in self._of(instances)
        )

    def news(
        self,
        instances: Collection[str],
        known: Iterable[KnownIncarnation],
        *,
        with_current: bool,
    ) -> tuple[AccountSnapshot, ...]:
        """Return what another ledger lacks.

        :param instances: names of the instances that are of interest.
        :param known: what the other ledger holds of them.
        :param with_current: also of lives that answered when asked last.
        """
        before = {
            (life.instance, life.incarnation): life.progress for life in known
        }
        return tuple(
            snapshot
            for life, snapshot in self._of(instances)
            if (with_current or not self.is_current(life))
            and (life not in before or before[life] < _progress(snapshot))
        )

    def is_current(self, life: InstanceIncarnation) -> bool:
        """Tell whether a life answered when it was asked last.

        :param life: the life.
        """
        instance, incarnation = life
        is_last = self._current.get(instance) == incarnation
        return is_last and instance not in self._silent

    def lines(self) -> tuple[AccountLine, ...]:
        """Return the sums over all instances and lives."""
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
        """Return what plans promised, over all instances and lives."""
        sums: dict[CallerService, float] = {}
        for snapshot in self._snapshots.values():
            for promise in snapshot.promises:
                pair = (promise.caller, promise.service)
                sums[pair] = sums.get(pair, 0) + promise.weight
        return tuple(
            PromiseLine(caller, service, weight)
            for (caller, service), weight in sorted(sums.items())
        )

    def unfinished(self, *, current: bool) -> tuple[OpenedLine, ...]:
        """Return requests without an outcome by caller and service.

        :param current: of lives that answer; otherwise of ended lives,
            whose requests have no outcome that could still be learned.
        """
        sums: dict[CallerService, int] = {}
        for life, snapshot in self._snapshots.items():
            if self.is_current(life) != current:
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

    def _of(
        self,
        instances: Collection[str],
    ) -> Iterator[tuple[InstanceIncarnation, AccountSnapshot]]:
        for name in instances:
            for life in self._lives.get(name, ()):
                yield life, self._snapshots[life]

    def _drop_oldest(self) -> None:
        if len(self._snapshots) <= len(self._lives) + self._max_ended:
            return
        # A silent instance may answer again, so its last life stays.
        ended = [
            life
            for life in self._snapshots
            if self._current.get(life[0], life[1]) != life[1]
        ]
        for life in ended[: max(len(ended) - self._max_ended, 0)]:
            del self._snapshots[life]
            self._lives[life[0]].remove(life)
            self._dropped[life] = None
            self.dropped += 1
        # A dropped life that is heard again must not count as a new one.
        for life in tuple(self._dropped)[: -self._max_ended]:
            del self._dropped[life]


def _key_of(line: AccountLine) -> _LineKey:
    return (line.caller, line.service, line.kind, line.outcome, line.reason)


def _progress(snapshot: AccountSnapshot) -> tuple[int, int, float]:
    return (
        sum(line.count for line in snapshot.lines),
        snapshot.open_tickets,
        sum(promise.weight for promise in snapshot.promises),
    )
