"""Measures what notices of leaving targets cost an instance.

Prints JSON. Run with ``PYTHONPATH=src python -m benchmarks.leaving_cost``.
"""

import json
import time
from collections.abc import Callable

from cuminhoist.codec import Codec
from cuminhoist.fleet.instance_config import Address
from cuminhoist.fleet.messages import LeavingNotice, TargetChanges
from cuminhoist.steering.leaving_targets import LeavingTarget, LeavingTargets
from cuminhoist.steering.targets import TargetEntry, TargetState

#: Listed targets of a standard deployment and of two large ones.
TARGET_COUNTS = (46, 500, 2000)
#: Targets that leave at the same time.
LEAVING_COUNT = 10
CALLS_PER_ROUND = 200
ROUND_COUNT = 3


def _listed(count: int) -> tuple[TargetEntry, ...]:
    return tuple(
        TargetEntry(
            name=f'i-{number:08x}',
            service='catalogue',
            address=Address('10.128.0.9', 8000 + number),
            domain='south-a',
            slots=3,
            state=TargetState.ready,
            started_at_ms=1_780_000_000_000,
        )
        for number in range(count)
    )


def _least_us(call: Callable[[], object]) -> float:
    """Return the least mean time of a call, in microseconds."""
    rounds = []
    for _ in range(ROUND_COUNT):
        started = time.process_time()
        for _ in range(CALLS_PER_ROUND):
            call()
        rounds.append((time.process_time() - started) / CALLS_PER_ROUND)
    return round(min(rounds) * 1e6, 2)


def _measure(count: int) -> dict[str, float]:
    listed = _listed(count)
    announced = [
        LeavingTarget(entry.name, entry.started_at_ms)
        for entry in listed[:LEAVING_COUNT]
    ]
    leaving = LeavingTargets()
    leaving.add(announced, listed, 0)
    return {
        'known notice, us': _least_us(
            lambda: leaving.add(announced[:1], listed, 0)
        ),
        'new notice, us': _least_us(
            lambda: LeavingTargets().add(announced[:1], listed, 0)
        ),
        'list without notices, us': _least_us(
            lambda: LeavingTargets().apply(listed, 0)
        ),
        'list with notices, us': _least_us(lambda: leaving.apply(listed, 0)),
    }


def _frame_bytes() -> dict[str, int]:
    codec = Codec('', 'bench')
    entry = _listed(1)[0]
    notice = LeavingNotice(
        targets=(LeavingTarget(entry.name, entry.started_at_ms),)
    )
    changes = TargetChanges(age_s=0.5, changed=(entry,), gone=())
    return {
        'leaving notice, bytes': len(codec.encode(notice)),
        'list change, bytes': len(codec.encode(changes)),
    }


def main() -> None:
    """Measure and print the figures as JSON."""
    figures: dict[str, object] = {
        f'{count} targets': _measure(count) for count in TARGET_COUNTS
    }
    figures.update(_frame_bytes())
    print(json.dumps(figures))


if __name__ == '__main__':
    main()
