"""Targets, asks and dispatchers for tests of the decisions."""

from cuminhoist.fleet.site import Address
from cuminhoist.steering.asks import Ask, Done, Ending, Granted
from cuminhoist.steering.dispatch import Dispatcher
from cuminhoist.steering.targets import TargetEntry, TargetState
from cuminhoist.steering.track import TargetTrack

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
        name: TargetTrack(target(name, slots=slots), REGION)
        for name in (f't{number}' for number in range(count))
    }
    made.set_targets(SERVICE, tracks, REGION)
    queue = made.service(SERVICE)
    queue.times.warm_s = 0.07
    queue.times.cold_s = 0.24
    return made


def ask(number: int, key: str = '', useful_s: float = 0.244, **more) -> Ask:
    """Return an ask of a request that has just arrived."""
    fields = {'left_s': 1.2, **more}
    return Ask(
        number=number,
        service=SERVICE,
        key=key,
        useful_s=useful_s,
        **fields,
    )


def done(granted: Granted, run_s: float = 0.07, **more) -> Done:
    """Return the end of a granted attempt."""
    fields = {'ending': Ending.answered, 'key': '', **more}
    return Done(
        number=granted.number,
        target=granted.target,
        service=SERVICE,
        run_s=run_s,
        **fields,
    )
