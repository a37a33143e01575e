"""Measures how many slots the requests of a region need.

Targets of a region may become slow or fail while the load of its callers is
highest. The slots that such targets can no longer use are added to the
demand, so that other regions lend slots before the queue grows.

Requests that may run in some regions only are measured apart, as no other
region can help with them.
"""

from collections.abc import Iterable, Mapping

import msgspec

from .tracked_target import TrackedTarget

#: Weight of the newest measurement in the moving average.
SMOOTHING = 0.4
#: Shorter measurement periods count as this long, in seconds, so that two
#: measurements in quick succession give no extreme rate.
MIN_PERIOD_S = 0.05
#: A lower demand of requests that may run in some regions only is forgotten,
#: in slots.
MIN_HOME_SLOTS = 0.001

#: Regions that may serve a request; empty for all.
Homes = frozenset[str]


class HomeDemand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of requests that may run in some regions only.

    :param regions: these regions, sorted.
    :param slots: mean number of slots that the requests keep busy.
    """

    regions: tuple[str, ...]
    slots: float


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one region for slots of one service.

    :param slots: mean number of slots that the requests keep busy, plus the
        slots that slow and failing targets of the region cannot use.
    :param by_homes: the parts of it that may be served in some regions only;
        empty if a build sent it that does not know this field.
    """

    region: str
    service: str
    slots: float
    by_homes: tuple[HomeDemand, ...] = ()


class DemandMeter:
    """Measures the demand of one region.

    :param region: name of the region.
    :param now: monotonic time in seconds.
    """

    def __init__(self, region: str, now: float) -> None:
        self._region = region
        self._request_counts: dict[str, dict[Homes, int]] = {}
        self._busy_slots: dict[str, dict[Homes, float]] = {}
        self._measured_at = now

    def count_request(self, service: str, homes: Homes = frozenset()) -> None:
        """Count an arriving request.

        :param service: service of the request.
        :param homes: regions that may serve it; empty for all.
        """
        counts = self._request_counts.setdefault(service, {})
        counts[homes] = counts.get(homes, 0) + 1

    def measure(
        self,
        services: Iterable[tuple[str, float, Iterable[TrackedTarget]]],
        now: float,
    ) -> tuple[Demand, ...]:
        """Return the demand of each service as a moving average.

        :param services: name, run time in seconds and targets of each
            service.
        :param now: monotonic time in seconds.
        """
        period_s = max(now - self._measured_at, MIN_PERIOD_S)
        self._measured_at = now
        demand = []
        for name, run_s, targets in services:
            busy = self._smooth(name, run_s / period_s)
            slots = sum(busy.values())
            if slots:
                slots += self._unusable_slots(targets, now)
            demand.append(Demand(self._region, name, slots, _by_homes(busy)))
        return tuple(demand)

    def _smooth(
        self, service: str, slots_per_request: float
    ) -> Mapping[Homes, float]:
        """Add the counted requests to the moving averages and return these."""
        counts = self._request_counts.pop(service, {})
        averages = self._busy_slots.setdefault(service, {})
        all_homes = {frozenset[str](), *counts, *averages}
        for homes in all_homes:
            busy = counts.get(homes, 0) * slots_per_request
            previous = averages.get(homes, busy)
            averages[homes] = previous + SMOOTHING * (busy - previous)
            if homes and averages[homes] < MIN_HOME_SLOTS:
                averages.pop(homes)
        return averages

    def _unusable_slots(
        self, targets: Iterable[TrackedTarget], now: float
    ) -> float:
        return sum(
            target.entry.slots * (1 - target.working_fraction(now))
            for target in targets
            if target.region == self._region
        )


def _by_homes(busy: Mapping[Homes, float]) -> tuple[HomeDemand, ...]:
    return tuple(
        HomeDemand(tuple(sorted(homes)), slots)
        for homes, slots in busy.items()
        if homes
    )
