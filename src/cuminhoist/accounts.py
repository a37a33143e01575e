"""Interface between accounting and its readers."""

import abc
import collections
from collections.abc import Iterable

import msgspec


class AccountLine(msgspec.Struct, frozen=True, kw_only=True):
    """How many requests ended in one way.

    :param outcome: how they ended, such as ``served`` or ``refused``.
    :param reason: why, empty for served requests.
    :param count: how many requests.
    :param weight: sum of the weights of their kinds.
    """

    caller: str
    service: str
    kind: str
    outcome: str
    reason: str
    count: int
    weight: float


class AccountSource(abc.ABC):
    """Counts the outcomes of the requests of one instance."""

    @abc.abstractmethod
    def snapshot(self) -> tuple[AccountLine, ...]:
        """Return all lines since the start of the instance."""


def sum_lines(lines: Iterable[AccountLine]) -> tuple[AccountLine, ...]:
    """Add up lines that differ only in count and weight.

    :param lines: lines of any number of instances.
    """
    counts: collections.Counter[tuple[str, ...]] = collections.Counter()
    weights: dict[tuple[str, ...], float] = collections.defaultdict(float)
    for line in lines:
        key = (line.caller, line.service, line.kind, line.outcome, line.reason)
        counts[key] += line.count
        weights[key] += line.weight
    return tuple(
        AccountLine(
            caller=key[0],
            service=key[1],
            kind=key[2],
            outcome=key[3],
            reason=key[4],
            count=counts[key],
            weight=weights[key],
        )
        for key in sorted(counts)
    )
