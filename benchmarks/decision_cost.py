"""Processor time of a dispatcher's decision. Prints JSON.

Run with ``PYTHONPATH=src python -m benchmarks.decision_cost``.
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
#: Targets of a service: a standard deployment, a grown one, and the largest
#: that is designed for.
TARGET_COUNTS = (16, 100, 321)
CALLS = 2000
#: Objects that the requests are about.
OBJECT_COUNT = 300


def _dispatcher(count: int) -> Dispatcher:
    dispatcher = Dispatcher()
    tracks = {}
    for number in range(count):
        entry = TargetEntry(
            name=f't{number}',
            service=SERVICE,
            address=Address('10.0.0.1', number),
            domain='south-a',
            slots=3,
            state=TargetState.ready,
        )
        tracks[entry.name] = TrackedTarget(entry, REGION)
    dispatcher.set_targets(SERVICE, tracks, REGION)
    return dispatcher


def _round(dispatcher: Dispatcher, first: int) -> float:
    """Return the processor time of an ask and the end of its attempt."""
    began = time.process_time()
    for number in range(first, first + CALLS):
        now = number * 0.01
        key = f'k{number % OBJECT_COUNT}'
        ask = PlacementRequest(
            number, SERVICE, key, objective_left_s=0.4, left_s=2
        )
        granted = dispatcher.decide_or_queue('e', ask, now)
        if isinstance(granted, Granted):
            done = AttemptReport(
                number,
                granted.target,
                SERVICE,
                key,
                Ending.answered,
                0.1,
            )
            dispatcher.end_attempt('e', done, now + 0.1)
    return (time.process_time() - began) / CALLS


def main() -> None:
    """Measure and print."""
    figures = {}
    for count in TARGET_COUNTS:
        dispatcher = _dispatcher(count)
        _round(dispatcher, 0)
        least_s = min(
            _round(dispatcher, (turn + 1) * CALLS) for turn in range(3)
        )
        figures[f'{count} targets, us'] = round(least_s * 1e6, 1)
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
