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
from .tracked_target import ObjectHolders, TrackedTarget


class DomainCaches:
    """Tells whether the targets of one failure domain can cache all objects.

    :param region: name of the region.
    :param targets: its targets.
    """

    def __init__(self, region: str, targets: Collection[TrackedTarget]) -> None:
        self._region = region
        self._counts = collections.Counter(
            target.entry.domain for target in targets
        )
        self._object_count = 0

    def count_objects(self, holders: ObjectHolders) -> None:
        """Count the objects that the targets of the region hold.

        :param holders: the targets that hold each object.
        """
        self._object_count = sum(
            any(target.region == self._region for target in by_name.values())
            for by_name in holders.values()
        )

    def hold_all_objects(self, domain: str, cache_capacity: float) -> bool:
        """Tell whether the caches of a domain are large enough.

        :param domain: the failure domain.
        :param cache_capacity: estimated cache capacity of a target, in
            objects.
        """
        capacity = self._counts[domain] * cache_capacity
        return 0 < capacity and self._object_count <= capacity


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
    :param in_time_s: longest estimated time of an answer that is in time, in
        seconds.
    """

    domain: str
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
        if best_own.total_s <= self.in_time_s or best.total_s > self.in_time_s:
            return best_own
        return best


def _total_s(option: Option) -> float:
    return option.total_s
