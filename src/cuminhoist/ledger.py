"""Sums of the accounts of many instances."""

from collections.abc import Iterable

from .accounting import (
    AccountLine,
    AccountSnapshot,
    Outcome,
    PromiseLine,
)
from .entitlements import Pair

_LineKey = tuple[str, str, str, Outcome, str]


class AccountLedger:
    """Sums the snapshots of many instances.

    Snapshots may arrive late, twice or out of order: of each life of an
    instance, every figure counts with the highest value seen.
    """

    def __init__(self) -> None:
        self._lines: dict[Pair, dict[_LineKey, AccountLine]] = {}
        self._promises: dict[Pair, dict[Pair, PromiseLine]] = {}

    def merge(self, snapshots: Iterable[AccountSnapshot]) -> None:
        """Take snapshots into the sums.

        :param snapshots: from any instances.
        """
        for snapshot in snapshots:
            life = (snapshot.instance, snapshot.incarnation)
            lines = self._lines.setdefault(life, {})
            for line in snapshot.lines:
                key = _key_of(line)
                if key not in lines or lines[key].count < line.count:
                    lines[key] = line
            promises = self._promises.setdefault(life, {})
            for promise in snapshot.promises:
                pair = (promise.caller, promise.service)
                if pair not in promises or (
                    promises[pair].weight < promise.weight
                ):
                    promises[pair] = promise

    def lines(self) -> tuple[AccountLine, ...]:
        """Return the sums over all instances and lives."""
        sums: dict[_LineKey, tuple[int, float]] = {}
        for lines in self._lines.values():
            for key, line in lines.items():
                count, weight = sums.get(key, (0, float(0)))
                sums[key] = (count + line.count, weight + line.weight)
        return tuple(
            AccountLine(*names, count, weight)
            for names, (count, weight) in sorted(sums.items())
        )

    def promises(self) -> tuple[PromiseLine, ...]:
        """Return what plans promised, over all instances and lives."""
        sums: dict[Pair, float] = {}
        for promises in self._promises.values():
            for pair, promise in promises.items():
                sums[pair] = sums.get(pair, 0) + promise.weight
        return tuple(
            PromiseLine(caller, service, weight)
            for (caller, service), weight in sorted(sums.items())
        )


def _key_of(line: AccountLine) -> _LineKey:
    return (line.caller, line.service, line.kind, line.outcome, line.reason)
