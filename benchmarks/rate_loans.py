"""Measures the rate that a caller reaches at one instance by token loans.

Time is simulated, so every run gives equal figures. Prints JSON. Run with
``PYTHONPATH=src:. python -m benchmarks.rate_loans``.
"""

import asyncio
import importlib
import json
import random
from typing import Any

import looptime

# Imported by name, because the builders of test data are not fully typed.
_builders = importlib.import_module('tests.builders')
_admission = importlib.import_module('tests.builders_admission')

RATE_PER_S = 400.0
BURST_S = 2.0
#: One-way delay between regions, used here between all instances.
ONE_WAY_DELAY_S = 0.035
#: Wait before the load, and time of the load before the measurement.
RAMP_S = 5.0
MEASURED_S = 30.0
SEED = 1


async def run_one(
    instances: int, demand_per_s: float, calls_per_s: float
) -> dict[str, float]:
    """Run the load of one caller at one instance and return the figures.

    :param instances: number of entry instances.
    :param demand_per_s: requests of the caller, per second.
    :param calls_per_s: limit on the calls that borrow tokens, per second.
    """
    fleet = _admission.RateFleet(
        instances,
        RATE_PER_S,
        BURST_S,
        calls_per_s,
        _builders.LoopClock(),
    )
    for transport in fleet.network.values():
        transport.delay_s = ONE_WAY_DELAY_S
    borrower = fleet.borrowers['e0']
    borrowing = asyncio.create_task(borrower.run())
    rng = random.Random(SEED)
    await asyncio.sleep(RAMP_S)
    await _send(fleet, rng, demand_per_s, RAMP_S)
    admitted_before, calls_before = len(fleet.admitted), borrower.calls
    await _send(fleet, rng, demand_per_s, MEASURED_S)
    borrowing.cancel()
    await asyncio.gather(borrowing, return_exceptions=True)
    admitted_per_s = (len(fleet.admitted) - admitted_before) / MEASURED_S
    return {
        'instances': instances,
        'demand_per_s': demand_per_s,
        'calls_bound_per_s': calls_per_s,
        'percent_of_rate': round(admitted_per_s / RATE_PER_S * 100, 1),
        'calls_per_s': round((borrower.calls - calls_before) / MEASURED_S, 2),
    }


async def _send(
    fleet: Any,
    rng: random.Random,
    rate_per_s: float,
    seconds: float,
) -> None:
    """Send requests with random intervals."""
    ends_at = fleet.clock.now() + seconds
    while fleet.clock.now() < ends_at:
        await asyncio.sleep(rng.expovariate(rate_per_s))
        fleet.send('e0')


def main() -> None:
    """Print the figures of each run as a line of JSON."""
    figures = []
    for instances in (8, 10, 40):
        for demand_per_s in (RATE_PER_S, RATE_PER_S * 1.25):
            for calls_per_s in (2.0, 5.0):
                loop = looptime.new_event_loop()
                run = run_one(instances, demand_per_s, calls_per_s)
                figures.append(loop.run_until_complete(run))
                loop.close()
    print('\n'.join(json.dumps(entry) for entry in figures))


if __name__ == '__main__':
    main()
