"""Keeps requests in the failure domain of their entry instance.

Load pattern: large answers, and few bytes that may cross between the failure
domains of a region. With one order of the targets for each object in a whole
region, half of the answers of a region with two domains cross. Each domain
therefore gets an order of its own, as long as the targets of one domain can
cache all objects. A request leaves its domain only to be answered in time.
"""

import collections
from collections.abc import Collection, Mapping, Sequence

import msgspec

from .placement_options import Option
from .tracked_target import TrackedTarget

#: With fewer free slots in a failure domain, a request goes to another one
#: rather than load its object there: a cache miss takes the slot for about
#: three times as long as a hit.
MIN_FREE_FRACTION = 0.5
#: Longest answer from the own failure domain, as a multiple of the shortest
#: one, while it has fewer free slots than that.
MAX_BUSY_RATIO = 1.5


class DomainCapacity:
    """Capacity of the failure domains of one region for one service.

    :param targets: targets of the region.
    """

    def __init__(self, targets: Collection[TrackedTarget]) -> None:
        self._targets = targets
        self._counts = collections.Counter(
            target.entry.domain for target in targets
        )
        self._object_count = 0
        self._free_fractions: dict[str, float] = {}

    def refresh(self, object_count: int) -> None:
        """Take note of the present load.

        :param object_count: number of objects that requests have used.
        """
        self._object_count = object_count
        slots: collections.Counter[str] = collections.Counter()
        running: collections.Counter[str] = collections.Counter()
        for target in self._targets:
            slots[target.entry.domain] += target.slots
            running[target.entry.domain] += target.running
        self._free_fractions = {
            domain: 1 - running[domain] / max(count, 1)
            for domain, count in slots.items()
        }

    def holds_all_objects(self, domain: str, cache_capacity: float) -> bool:
        """Tell whether the caches of a domain are large enough.

        :param domain: the failure domain.
        :param cache_capacity: estimated cache capacity of a target, in
            objects.
        """
        capacity = self._counts[domain] * cache_capacity
        return 0 < capacity and self._object_count <= capacity

    def has_room(self, domain: str) -> bool:
        """Tell whether half of the slots of a domain are free.

        :param domain: the failure domain.
        """
        return self._free_fractions.get(domain, 0) >= MIN_FREE_FRACTION


def order_by_domain(
    names: Sequence[str], targets: Mapping[str, TrackedTarget], domain: str
) -> list[str]:
    """Return names of targets, those of one failure domain first.

    :param names: names in the order of an object.
    :param targets: targets by name.
    :param domain: the failure domain.
    """
    return sorted(names, key=lambda name: targets[name].entry.domain != domain)


class DomainPreference(msgspec.Struct, frozen=True):
    """Chooses among the options of one request.

    :param domain: failure domain of its entry instance; empty for no
        preference.
    :param has_room: whether that domain has room to load objects.
    :param in_time_s: longest estimated time of an answer that is in time, in
        seconds.
    """

    domain: str
    has_room: bool
    in_time_s: float

    def best(self, options: Sequence[Option]) -> Option:
        """Return the option for a request.

        An answer in time goes before one from the own failure domain, and the
        latter before one that is late as well.

        :param options: at least one option.
        """
        best = min(options, key=_total_s)
        own = [
            option
            for option in options
            if option.target.entry.domain == self.domain
        ]
        if not self.domain or not own:
            return best
        best_own = min(own, key=_total_s)
        if not self.has_room and best_own.total_s > (
            best.total_s * MAX_BUSY_RATIO
        ):
            return best
        if best_own.total_s <= self.in_time_s or best.total_s > self.in_time_s:
            return best_own
        return best


def _total_s(option: Option) -> float:
    return option.total_s
