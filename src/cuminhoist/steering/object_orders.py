"""The order in which the targets of a service may cache each object.

Every process gets the same order by rendezvous hashing. Only the start of an
order is kept: a request that finds its first targets busy is better served by
any target with a free slot than by a distant rank.
"""

import heapq
from collections.abc import Collection

import msgspec

from ..rendezvous import hash64

#: Ranks that placement uses; targets beyond count as this rank.
RANK_COUNT = 24
#: Ranks that are kept, so that a few removed targets need no new order.
KEPT_COUNT = 32
#: Number of objects whose orders are kept.
MAX_OBJECTS = 8192

#: Negative score and name, so that the natural order is the rank order.
_Ranked = tuple[int, str]


class _Order(msgspec.Struct):
    """First targets of one object.

    :param names: the targets that were ranked.
    :param ranked: the first of them, in rank order.
    """

    names: frozenset[str]
    ranked: list[_Ranked]


class ObjectOrders:
    """Orders of the objects over the targets of one region.

    :param names: names of the targets.
    """

    def __init__(self, names: Collection[str] = ()) -> None:
        self._names = frozenset(names)
        self._orders: dict[str, _Order] = {}

    @property
    def object_count(self) -> int:
        """Number of objects that have an order."""
        return len(self._orders)

    def replace_names(self, names: Collection[str]) -> None:
        """Replace the targets; orders are adapted when they are next used.

        :param names: names of the targets.
        """
        if self._names != set(names):
            self._names = frozenset(names)

    def first_names(self, key: str) -> list[str]:
        """Return the first targets of an object, at most ``RANK_COUNT``.

        :param key: identity of the object.
        """
        order = self._orders.get(key)
        if order is None:
            if len(self._orders) >= MAX_OBJECTS:
                self._orders.pop(next(iter(self._orders)))
            order = _Order(self._names, _rank(key, self._names))
            self._orders[key] = order
        elif order.names is not self._names:
            self._adapt(key, order)
        return [name for _, name in order.ranked[:RANK_COUNT]]

    def _adapt(self, key: str, order: _Order) -> None:
        kept = [entry for entry in order.ranked if entry[1] in self._names]
        was_whole = len(order.ranked) == len(order.names)
        if len(kept) < RANK_COUNT and not was_whole:
            kept = _rank(key, self._names)
        else:
            last = kept[-1] if kept else (0, '')
            added = [_scored(key, name) for name in self._names - order.names]
            if not was_whole:
                # Beyond the last kept rank, other targets may rank higher.
                added = [entry for entry in added if entry < last]
            kept = sorted(kept + added)[:KEPT_COUNT]
        order.ranked = kept
        order.names = self._names


def _rank(key: str, names: Collection[str]) -> list[_Ranked]:
    return heapq.nsmallest(KEPT_COUNT, (_scored(key, name) for name in names))


def _scored(key: str, name: str) -> _Ranked:
    return -hash64(key, name), name
