"""Replays the start of traffic in a region that has few targets.

All caches are cold, so the region's own targets answer late, and other
regions are near. Requests must not leave the region faster than the limit.
"""

import collections

import pytest

from cuminhoist.emulator import Simulation
from cuminhoist.emulator.patterns import Callers, Pattern, RegionLoad, Work
from cuminhoist.emulator.simulation import SHIFT_LIMIT_FRACTION
from cuminhoist.steering.decisions import Granted

SMALL = 'north'
WINDOW_S = 2.0
PATTERN = Pattern(
    name='small-region',
    answers='cold caches and few targets at the start of traffic',
    regions=(
        RegionLoad(name='south', targets=12, per_s=64, phase=0.2),
        RegionLoad(name=SMALL, targets=2, per_s=64, phase=0.53),
        RegionLoad(name='west', targets=10, per_s=64, phase=0.87),
    ),
    work=Work(cold_s=0.88, object_count=59, kept=30, slots=6, queue=18),
    callers=Callers(objective_s=0.6, left_s=4),
    length_s=6,
    region_s=0.012,
)


class RecordingSimulation(Simulation):
    """Counts the requests of the small region by the region of the target."""

    def __init__(self, pattern: Pattern, seed: int) -> None:
        super().__init__(pattern, seed)
        self.regions_by_window: dict[int, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )

    def _send(self, granted: Granted) -> None:
        caller = self._waiting_callers[granted.number]
        if caller.region == SMALL and self.now < PATTERN.length_s:
            window = int(self.now / WINDOW_S)
            self.regions_by_window[window][granted.region] += 1
        super()._send(granted)


@pytest.mark.parametrize('seed', range(1, 6))
def test_requests_leave_a_small_region_within_the_limit(seed):
    """Guards against a fast shift at the start of traffic.

    Found on kragelund-lb mix with seed 381828739627.
    """
    sim = RecordingSimulation(PATTERN, seed)
    sim.run()
    away = [
        1 - regions[SMALL] / regions.total()
        for _, regions in sorted(sim.regions_by_window.items())
    ]
    increases = [
        later - earlier for earlier, later in zip(away, away[1:], strict=False)
    ]
    assert max(increases) <= SHIFT_LIMIT_FRACTION
    assert away[-1] > away[0]
