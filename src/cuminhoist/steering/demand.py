"""Measures how many slots the requests of a region need.

Targets of a region may become slow or fail while the load of its callers is
highest. The slots that such targets can no longer use are added to the
demand, so that other regions lend slots before the queue grows.
"""

from collections.abc import Iterable

import msgspec

from .tracked_target import TrackedTarget

#: Weight of the newest measurement in the moving average.
SMOOTHING = 0.4
#: Shorter measurement periods count as this long, in seconds, so that two
#: measurements in quick succession give no extreme rate.
MIN_PERIOD_S = 0.05


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Demand of one region for slots of one service.

    :param slots: mean number of slots that the requests keep busy, plus the
        slots that slow and failing targets of the region cannot use.
    """

    region: str
    service: str
    slots: float


class DemandMeter:
    """Measures the demand of one region.

    :param region: name of the region.
    :param now: monotonic time in seconds.
    """

    def __init__(self, region: str, now: float) -> None:
        self._region = region
        self._request_counts: dict[str, int] = {}
        self._busy_slots: dict[str, float] = {}
        self._measured_at = now

    def count_request(self, service: str) -> None:
        """Count an arriving request.

        :param service: service of the request.
        """
        self._request_counts[service] = self._request_counts.get(service, 0) + 1

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
            busy = self._request_counts.pop(name, 0) / period_s * run_s
            previous = self._busy_slots.get(name, busy)
            self._busy_slots[name] = previous + SMOOTHING * (busy - previous)
            slots = self._busy_slots[name]
            if slots:
                slots += self._unusable_slots(targets, now)
            demand.append(Demand(self._region, name, slots))
        return tuple(demand)

    def _unusable_slots(
        self, targets: Iterable[TrackedTarget], now: float
    ) -> float:
        return sum(
            target.entry.slots * (1 - target.working_fraction(now))
            for target in targets
            if target.region == self._region
        )
