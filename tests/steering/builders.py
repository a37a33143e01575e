"""Builders of targets, dispatchers and messages for the steering tests."""

from cuminhoist.fleet.instance_config import Address
from cuminhoist.steering.decisions import (
    AttemptReport,
    Ending,
    Granted,
    PlacementRequest,
)
from cuminhoist.steering.demand import Demand
from cuminhoist.steering.dispatcher import Dispatcher
from cuminhoist.steering.targets import TargetEntry, TargetState
from cuminhoist.steering.tracked_target import TrackedTarget

SERVICE = 'catalogue'
REGION = 'south'


def target(name: str, **changes: object) -> TargetEntry:
    """Return the entry of a ready target with three slots."""
    values = {
        'name': name,
        'service': SERVICE,
        'address': Address('10.0.0.1', 80),
        'domain': 'south-a',
        'slots': 3,
        'state': TargetState.ready,
    }
    return TargetEntry(**{**values, **changes})


def make_dispatcher(
    count: int = 2, slots: int = 1, shift_limit: float = 1
) -> Dispatcher:
    """Return a dispatcher with targets ``t0``, ``t1`` and so on."""
    dispatcher = Dispatcher(shift_limit)
    targets = {
        name: TrackedTarget(target(name, slots=slots), REGION)
        for name in (f't{number}' for number in range(count))
    }
    dispatcher.set_targets(SERVICE, targets, REGION)
    queue = dispatcher.queue(SERVICE)
    queue.run_times.hit_run_s = 0.07
    queue.run_times.miss_run_s = 0.24
    return dispatcher


def request(
    number: int, key: str = '', objective_left_s: float = 0.244, **fields
) -> PlacementRequest:
    """Return the placement request of a request that has just arrived."""
    values = {'left_s': 1.2, **fields}
    return PlacementRequest(
        number=number,
        service=SERVICE,
        key=key,
        objective_left_s=objective_left_s,
        **values,
    )


def attempt_report(
    granted: Granted, run_s: float = 0.07, **fields
) -> AttemptReport:
    """Return the report of a granted attempt, answered by default."""
    values = {'ending': Ending.answered, 'key': '', **fields}
    return AttemptReport(
        number=granted.number,
        target=granted.target,
        service=SERVICE,
        run_s=run_s,
        **values,
    )


def measured_demand(slots: dict[str, float]) -> list[Demand]:
    """Return the demand of each region for slots of the service."""
    return [Demand(region, SERVICE, mean) for region, mean in slots.items()]
