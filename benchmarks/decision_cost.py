"""Measures the processor time that a decision of the dispatcher takes.

Prints JSON. Run with ``PYTHONPATH=src python -m benchmarks.decision_cost``.
"""

import json
import time

from cuminhoist.fleet.instance_config import Address
from cuminhoist.steering.decisions import (
    AttemptReport,
    Ending,
    Granted,
    PlacementRequest,
)
from cuminhoist.steering.dispatcher import Dispatcher
from cuminhoist.steering.targets import TargetEntry, TargetState
from cuminhoist.steering.tracked_target import TrackedTarget

SERVICE = 'catalogue'
REGION = 'south'
#: Targets of a service in a standard deployment, in a grown one and in the
#: large one, and the most of one service in a large deployment.
TARGET_COUNTS = (16, 100, 321, 1000)
DECISIONS_PER_ROUND = 2000
#: Distinct objects that the requests name by their affinity keys.
OBJECT_COUNT = 300


def _dispatcher(count: int) -> Dispatcher:
    dispatcher = Dispatcher()
    targets = {}
    for number in range(count):
        entry = TargetEntry(
            name=f't{number}',
            service=SERVICE,
            address=Address('10.0.0.1', number),
            domain='south-a',
            slots=3,
            state=TargetState.ready,
        )
        targets[entry.name] = TrackedTarget(entry, REGION)
    dispatcher.set_targets(SERVICE, targets, REGION)
    return dispatcher


def _measure_round(dispatcher: Dispatcher, first_number: int) -> float:
    """Return the seconds of a placement request and its attempt report."""
    started = time.process_time()
    for number in range(first_number, first_number + DECISIONS_PER_ROUND):
        now = number * 0.01
        key = f'k{number % OBJECT_COUNT}'
        req = PlacementRequest(
            number, SERVICE, key, objective_left_s=0.4, left_s=2
        )
        decision = dispatcher.decide_or_queue('e', req, now)
        if isinstance(decision, Granted):
            report = AttemptReport(
                number,
                decision.target,
                SERVICE,
                key,
                Ending.answered,
                0.1,
            )
            dispatcher.end_attempt('e', report, now + 0.1)
    return (time.process_time() - started) / DECISIONS_PER_ROUND


def main() -> None:
    """Measure and print the figures as JSON."""
    figures = {}
    for count in TARGET_COUNTS:
        dispatcher = _dispatcher(count)
        _measure_round(dispatcher, 0)
        least_s = min(
            _measure_round(dispatcher, (repeat + 1) * DECISIONS_PER_ROUND)
            for repeat in range(3)
        )
        figures[f'{count} targets, us'] = round(least_s * 1e6, 1)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
