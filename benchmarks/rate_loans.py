"""Rate that a caller reaches at one instance, and the calls it takes.

Simulated time, so the figures are the same on every run. Run with
``PYTHONPATH=src:. python -m benchmarks.rate_loans``; prints JSON.
"""

import asyncio
import importlib
import json
import random
from typing import Any

import looptime

# Loaded by name: the builders of test data are not typed strictly.
_builders = importlib.import_module('tests.builders')
_admission = importlib.import_module('tests.builders_admission')

RATE_PER_S = 400.0
BURST_S = 2.0
#: One-way delay between regions, here to all peers.
DELAY_S = 0.035
RAMP_S = 5.0
MEASURED_S = 30.0
SEED = 1


async def run_one(
    instances: int, demand_per_s: float, calls_per_s: float
) -> dict[str, float]:
    """Return the figures of one run.

    :param instances: number of entry instances.
    :param demand_per_s: requests a second of the only caller.
    :param calls_per_s: bound of the calls for tokens.
    """
    fleet = _admission.RateFleet(
        instances,
        RATE_PER_S,
        BURST_S,
        calls_per_s,
        _builders.LoopClock(),
    )
    for transport in fleet.network.values():
        transport.delay_s = DELAY_S
    borrower = fleet.borrowers['e0']
    loans = asyncio.create_task(borrower.run())
    rng = random.Random(SEED)
    await asyncio.sleep(RAMP_S)
    await _send(fleet, rng, demand_per_s, RAMP_S)
    before, calls = len(fleet.admitted), borrower.calls
    await _send(fleet, rng, demand_per_s, MEASURED_S)
    loans.cancel()
    await asyncio.gather(loans, return_exceptions=True)
    admitted = (len(fleet.admitted) - before) / MEASURED_S
    return {
        'instances': instances,
        'demand_per_s': demand_per_s,
        'calls_bound_per_s': calls_per_s,
        'percent_of_rate': round(admitted / RATE_PER_S * 100, 1),
        'calls_per_s': round((borrower.calls - calls) / MEASURED_S, 2),
    }


async def _send(
    fleet: Any,
    rng: random.Random,
    per_s: float,
    seconds: float,
) -> None:
    """Send requests at random times."""
    ends_at = fleet.clock.now() + seconds
    while fleet.clock.now() < ends_at:
        await asyncio.sleep(rng.expovariate(per_s))
        fleet.send('e0')


def main() -> None:
    """Print the figures of all runs."""
    figures = []
    for instances in (8, 10, 40):
        for demand in (RATE_PER_S, RATE_PER_S * 1.25):
            for bound in (2.0, 5.0):
                loop = looptime.new_event_loop()
                run = run_one(instances, demand, bound)
                figures.append(loop.run_until_complete(run))
                loop.close()
    print('\n'.join(json.dumps(entry) for entry in figures))


if __name__ == '__main__':
    main()
