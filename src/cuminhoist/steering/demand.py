"""Measures how many slots the requests of a region need.

The load pattern that this answers: targets of a region turn slow or fail
while its callers peak. What they no longer do counts as need, so that other
regions lend slots before the queue grows.
"""

from collections.abc import Iterable

import msgspec

from .tracked_target import TrackedTarget

#: Weight of the newest measurement.
SMOOTHING = 0.4
#: Shortest time that is measured, in seconds.
MIN_PERIOD_S = 0.05


class Demand(msgspec.Struct, frozen=True):
    """Slots that the requests of a region would keep busy.

    :param slots: mean number of slots, with those that slow and failing
        targets of the region lack.
    """

    region: str
    service: str
    slots: float


class DemandMeter:
    """Measures the demand of one region.

    :param region: the region.
    :param now: monotonic time in seconds.
    """

    def __init__(self, region: str, now: float) -> None:
        self._region = region
        self._offered: dict[str, int] = {}
        self._busy: dict[str, float] = {}
        self._measured_at = now

    def count_request(self, service: str) -> None:
        """Count a request.

        :param service: its service.
        """
        self._offered[service] = self._offered.get(service, 0) + 1

    def measure(
        self,
        services: Iterable[tuple[str, float, Iterable[TrackedTarget]]],
        now: float,
    ) -> tuple[Demand, ...]:
        """Return the demand, smoothed over the last measurements.

        :param services: name, run time in seconds and targets of each.
        :param now: monotonic time in seconds.
        """
        period_s = max(now - self._measured_at, MIN_PERIOD_S)
        self._measured_at = now
        demand = []
        for name, run_s, tracks in services:
            busy = self._offered.pop(name, 0) / period_s * run_s
            before = self._busy.get(name, busy)
            self._busy[name] = before + SMOOTHING * (busy - before)
            slots = self._busy[name]
            if slots:
                slots += self._lost(tracks, now)
            demand.append(Demand(self._region, name, slots))
        return tuple(demand)

    def _lost(self, tracks: Iterable[TrackedTarget], now: float) -> float:
        return sum(
            track.entry.slots * (1 - track.speed(now))
            for track in tracks
            if track.region == self._region
        )
