"""Replays calm situations in which requests changed their region at once.

No target fails in any of them, so at no time may more requests than the limit
change the region in which they run from one window of two seconds to the next.
"""

import collections

import pytest

from cuminhoist.emulator import Simulation
from cuminhoist.emulator.patterns import Callers, Pattern, RegionLoad, Work
from cuminhoist.emulator.simulation import SHIFT_LIMIT_FRACTION
from cuminhoist.steering.decisions import Granted
from cuminhoist.steering.dispatcher import Dispatcher
from cuminhoist.steering.region_shares import changed_fraction
from cuminhoist.steering.tracked_target import TrackedTarget

from .builders import REGION, SERVICE, attempt_report, request, target

SMALL = 'north'
WINDOW_S = 2.0
STEP_S = 0.25
#: Windows with fewer requests are not compared.
MIN_REQUESTS = 20
#: A region with a tenth of the targets and a third of the callers.
UNEVEN = Pattern(
    name='uneven',
    answers='a region borrows most of its slots',
    regions=(
        RegionLoad(name='south', targets=40, per_s=230, phase=0.2),
        RegionLoad(name=SMALL, targets=10, per_s=230, phase=0.53),
        RegionLoad(name='west', targets=50, per_s=230, phase=0.87),
    ),
    work=Work(cold_s=0.672, object_count=250, kept=11),
    callers=Callers(objective_s=0.579, left_s=4.3),
    length_s=16,
)


def _largest_change(sent, length_s):
    """Return the largest change between two consecutive windows."""
    largest = 0
    for step in range(int((length_s - 2 * WINDOW_S) / STEP_S) + 1):
        starts = [step * STEP_S + n * WINDOW_S for n in range(3)]
        before, after = (
            collections.Counter(
                region for at, region in sent if start <= at < end
            )
            for start, end in zip(starts, starts[1:], strict=False)
        )
        if min(before.total(), after.total()) >= MIN_REQUESTS:
            largest = max(largest, changed_fraction(before, after))
    return largest


class SlowTargetSimulation(Simulation):
    """One target of the small region is slow for two seconds."""

    def __init__(self, pattern, seed):
        super().__init__(pattern, seed)
        self.sent = []
        slow_target = self.targets[f'{SMALL}-0']
        for at, slowdown in ((1.5, 4.0), (3.5, 1.0)):
            self._schedule_at(
                at,
                lambda factor=slowdown: setattr(
                    slow_target, 'slowdown', factor
                ),
            )

    def _send(self, granted: Granted):
        caller = self._waiting_callers[granted.number]
        if caller.region == SMALL:
            self.sent.append((self.now, granted.region))
        super()._send(granted)


@pytest.mark.parametrize('seed', (1, 2, 3))
def test_requests_left_at_once_beside_one_slow_target(seed):
    """Guards against a limit that one slow target of ten suspends.

    Found on porth-data-grown (the incident SHIFT) and pwch-global-grown.
    """
    sim = SlowTargetSimulation(UNEVEN, seed)
    sim.run()
    change = _largest_change(sim.sent, UNEVEN.length_s)
    assert change <= SHIFT_LIMIT_FRACTION


class _Replay:
    """Requests of a region with ten targets of one slot, and its neighbour."""

    def __init__(self):
        self.dispatcher = Dispatcher(SHIFT_LIMIT_FRACTION)
        self.sent = []
        targets = {}
        for number in range(40):
            region = REGION if number < 10 else SMALL
            name = f't{number}'
            entry = target(name, slots=1)
            extra_rtt_s = 0 if region == REGION else 0.07
            targets[name] = TrackedTarget(entry, region, extra_rtt_s)
        self.dispatcher.set_targets(SERVICE, targets, REGION)
        queue = self.dispatcher.queue(SERVICE)
        queue.run_times.hit_run_s = 0.1
        queue.run_times.miss_run_s = 0.24
        self._ends = []
        self._number = 0

    def run(self, started_at, length_s, per_s):
        """Send requests at a steady rate; each granted one runs 0.1 s."""
        for number in range(int(length_s * per_s)):
            now = started_at + number / per_s
            self._end_attempts(now)
            self._number += 1
            self._record(
                self.dispatcher.decide_or_queue(
                    'e1', request(self._number, objective_left_s=0.3), now
                ),
                now,
            )
            for _, decision in self.dispatcher.decide_waiting(now):
                self._record(decision, now)

    def _end_attempts(self, now):
        while self._ends and self._ends[0][0] <= now:
            at, granted, run_s = self._ends.pop(0)
            for _, decision in self.dispatcher.end_attempt(
                'e1', attempt_report(granted, run_s), at
            ):
                self._record(decision, at)

    def _record(self, decision, now):
        if isinstance(decision, Granted):
            self.sent.append((now, decision.region))
            run_s = 0.1 if decision.region == REGION else 0.17
            self._ends.append((now + run_s, decision, run_s))
            self._ends.sort(key=lambda end: end[0])


def test_requests_returned_at_once_after_a_burst():
    """Guards against a sudden return to the caches of the own region.

    Found while the incident SHIFT was traced: only the way out had a limit.
    """
    replay = _Replay()
    replay.run(0, 8, 200)
    replay.run(8, 6, 40)
    shares = [region == SMALL for at, region in replay.sent if 6 <= at < 8]
    assert sum(shares) / len(shares) > 2 * SHIFT_LIMIT_FRACTION
    assert _largest_change(replay.sent, 14) <= SHIFT_LIMIT_FRACTION
