"""Targets, asks and dispatchers for tests of the decisions."""

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


def target(name: str, **changes: object) -> TargetEntry:
    """Return a ready target with three slots."""
    fields = {
        'name': name,
        'service': SERVICE,
        'address': Address('10.0.0.1', 80),
        'domain': 'south-a',
        'slots': 3,
        'state': TargetState.ready,
    }
    return TargetEntry(**{**fields, **changes})


def dispatcher(count: int = 2, slots: int = 1) -> Dispatcher:
    """Return a dispatcher with some targets of one region."""
    made = Dispatcher()
    tracks = {
        name: TrackedTarget(target(name, slots=slots), REGION)
        for name in (f't{number}' for number in range(count))
    }
    made.set_targets(SERVICE, tracks, REGION)
    queue = made.queue(SERVICE)
    queue.run_times.hit_run_s = 0.07
    queue.run_times.miss_run_s = 0.24
    return made


def ask(
    number: int, key: str = '', useful_s: float = 0.244, **more
) -> PlacementRequest:
    """Return an ask of a request that has just arrived."""
    fields = {'left_s': 1.2, **more}
    return PlacementRequest(
        number=number,
        service=SERVICE,
        key=key,
        objective_left_s=useful_s,
        **fields,
    )


def done(granted: Granted, run_s: float = 0.07, **more) -> AttemptReport:
    """Return the end of a granted attempt."""
    fields = {'ending': Ending.answered, 'key': '', **more}
    return AttemptReport(
        number=granted.number,
        target=granted.target,
        service=SERVICE,
        run_s=run_s,
        **fields,
    )
