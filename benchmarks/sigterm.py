"""Checks that a daemon cuts no request off when it gets SIGTERM under load.

``benchmarks/sigterm.sh`` starts two daemons and passes the process id of one
of them.
"""

import asyncio
import os
import signal
import sys

import fire
import msgspec

from demo.callers import Caller, Outcome, Request, next_id

from . import mini
from .baseline import prepare

RATE_PER_S = 50.0
#: Time of the load before the signal.
BEFORE_S = 3.0
#: Time of the load after the signal.
AFTER_S = 14.0
#: Wait before the load, after the plans and allowances were applied.
READY_S = 8.0


class SigtermReport(msgspec.Struct, frozen=True):
    """Counts of requests by outcome.

    :param cut: requests that got no answer or an error of a target.
    """

    requests: int
    answered: int
    refused: int
    cut: int


async def _send_load(pid: int) -> list[Outcome]:
    await prepare()
    await asyncio.sleep(READY_S)
    topology = mini.build_topology(2)
    caller = Caller(
        tuple(
            f'http://{entry.host}:{entry.http_port}'
            for entry in topology.entry_instances()
        ),
    )
    kind = topology.services[0].kinds[0]
    tasks = []
    for number in range(int((BEFORE_S + AFTER_S) * RATE_PER_S)):
        if number == int(BEFORE_S * RATE_PER_S):
            os.kill(pid, signal.SIGTERM)
        req = Request(
            request_id=next_id(),
            caller=mini.CALLER,
            service=mini.SERVICE,
            kind=kind,
        )
        tasks.append(asyncio.create_task(caller.send(req)))
        await asyncio.sleep(1 / RATE_PER_S)
    outcomes = await asyncio.gather(*tasks)
    await caller.close()
    return list(outcomes)


def main(pid: int) -> None:
    """Print the report; exit with status 1 if a request was cut off.

    :param pid: process id of the daemon to stop.
    """
    outcomes = asyncio.run(_send_load(pid))
    endings = [outcome.result for outcome in outcomes]
    report = SigtermReport(
        len(outcomes),
        endings.count('answered'),
        endings.count('refused'),
        endings.count('lost') + endings.count('failed'),
    )
    print(msgspec.json.encode(report).decode())
    sys.exit(1 if report.cut else 0)


if __name__ == '__main__':
    fire.Fire(main)
