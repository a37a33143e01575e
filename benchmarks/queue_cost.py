"""Measures what a freed slot and an arrival cost while many requests wait.

Prints JSON. Run with ``PYTHONPATH=src python -m benchmarks.queue_cost``.
"""

import itertools
import json
import time

from cuminhoist.fleet.instance_config import Address
from cuminhoist.steering.decisions import (
    AttemptReport,
    Decision,
    Ending,
    Granted,
    PlacementRequest,
)
from cuminhoist.steering.dispatcher import Dispatcher
from cuminhoist.steering.targets import TargetEntry, TargetState
from cuminhoist.steering.tracked_target import SlotPool, TrackedTarget
from cuminhoist.steering.waiting_request import WaitingRequest
from cuminhoist.steering.waiting_requests import WaitingRequests

SERVICE = 'catalogue'
REGION = 'south'
TARGET_COUNT = 1000
SLOTS = 3
WAITING_COUNT = 10_000
WORKSPACE_COUNT = 100
PRIORITY_COUNT = 3
#: Freed slots, each followed by an arrival, in one round.
CYCLES_PER_ROUND = 1000
ROUNDS = 3
RUN_S = 0.07
#: Simulated time of a cycle in seconds: all slots are busy.
CYCLE_S = RUN_S / (TARGET_COUNT * SLOTS)
#: Rechecks come every 5 ms.
CYCLES_PER_TICK = round(0.005 / CYCLE_S)
#: The wait at this load is a quarter of a second.
OBJECTIVE_S = 2.0


class _ScannedRequests(WaitingRequests):
    """Finds requests by scans of the whole queue, as it was before."""

    def next_for(self, pool: SlotPool, now: float) -> WaitingRequest | None:
        """Return the first request that a free slot of a pool can serve."""
        for waiting in self:
            awaited = waiting.target
            if awaited is None or awaited.pool is not pool:
                continue
            if awaited.has_free_slot(now):
                return waiting
        return None

    def take_due(self, now: float) -> list[WaitingRequest]:
        """Return the requests that are due."""
        return [waiting for waiting in self if waiting.recheck_at <= now]


class _Load:
    """Keeps a number of requests waiting in a dispatcher.

    :param workspaces: number of workspaces.
    :param priorities: number of priorities.
    :param requests: the waiting requests of the service.
    """

    def __init__(
        self, workspaces: int, priorities: int, requests: WaitingRequests
    ) -> None:
        self._workspaces = workspaces
        self._priorities = priorities
        self._numbers = itertools.count()
        self._cycles = itertools.count(1)
        self._running: list[Granted] = []
        self._dispatcher = Dispatcher()
        pool = SlotPool(TARGET_COUNT * SLOTS)
        targets = {}
        for number in range(TARGET_COUNT):
            entry = TargetEntry(
                name=f't{number}',
                service=SERVICE,
                address=Address('10.0.0.1', number),
                domain='south-a',
                slots=SLOTS,
                state=TargetState.ready,
            )
            targets[entry.name] = TrackedTarget(entry, REGION)
            targets[entry.name].pool = pool
        queue = self._dispatcher.queue(SERVICE)
        queue.waiting = requests
        queue.run_times.hit_run_s = RUN_S
        queue.run_times.miss_run_s = RUN_S
        self._dispatcher.set_targets(SERVICE, targets, REGION)
        while len(requests) < WAITING_COUNT:
            self._arrive(0)

    def measure_round(self) -> float:
        """Return the seconds of a freed slot with an arrival."""
        started = time.process_time()
        for _ in range(CYCLES_PER_ROUND):
            cycle = next(self._cycles)
            now = cycle * CYCLE_S
            report = AttemptReport(
                self._running[cycle].number,
                self._running[cycle].target,
                SERVICE,
                '',
                Ending.answered,
                RUN_S,
            )
            decisions = self._dispatcher.end_attempt('e', report, now)
            self._count(decisions)
            self._arrive(now)
            if not cycle % CYCLES_PER_TICK:
                self._count(self._dispatcher.decide_waiting(now))
        return (time.process_time() - started) / CYCLES_PER_ROUND

    def _arrive(self, now: float) -> None:
        number = next(self._numbers)
        req = PlacementRequest(
            number,
            SERVICE,
            '',
            objective_left_s=OBJECTIVE_S,
            left_s=2 * OBJECTIVE_S,
            priority=number % self._priorities,
            workspace=f'w{number % self._workspaces}',
        )
        decision = self._dispatcher.decide_or_queue('e', req, now)
        if decision is not None:
            self._count([('e', decision)])

    def _count(self, decisions: list[tuple[str, Decision]]) -> None:
        self._running += [
            decision
            for _, decision in decisions
            if isinstance(decision, Granted)
        ]


def main() -> None:
    """Measure and print the figures as JSON."""
    loads = {
        'scan of the queue': _Load(1, 1, _ScannedRequests()),
        'one priority, no workspaces': _Load(1, 1, WaitingRequests()),
        '3 priorities, 100 workspaces': _Load(
            WORKSPACE_COUNT, PRIORITY_COUNT, WaitingRequests()
        ),
    }
    figures = {}
    for name, load in loads.items():
        least_s = min(load.measure_round() for _ in range(ROUNDS))
        figures[f'{name}, us'] = round(least_s * 1e6, 1)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
