"""One soak: starts the deployment, plays the plan, gathers the evidence."""

import asyncio
import itertools
import os
import pathlib
import random
import time

from .callers import Caller
from .evidence import Evidence
from .injector import Injector
from .operators import Operator
from .plan import FAULT_FREE_S, FaultPlan
from .processes import GRACE_S, OPERATORS_PORT, Instance
from .upstreams import Target, TargetList

#: Failure domains and their regions.
DOMAINS = {'north-a': 'north', 'south-a': 'south', 'west-a': 'west'}
SERVICES = ('catalogue', 'publisher')
TARGETS_PER_DOMAIN = 2
CALLERS = 8
#: Time for the first configuration to be taken, in seconds.
SETTLE_S = 10.0

#: How often the soak looks whether it runs itself, in seconds.
STALL_STEP_S = 0.02


class Soak:
    """A deployment under faults.

    :param seed: seed of the plan and of all choices.
    :param length_s: length of the traffic, in seconds.
    :param folder: takes logs, settings and disks.
    """

    def __init__(
        self,
        seed: int,
        length_s: float,
        folder: pathlib.Path,
    ) -> None:
        self.evidence = Evidence()
        self._rng = random.Random(seed)  # noqa: S311
        self._targets = self._make_targets()
        self._list = TargetList(_host(4, 1), self._targets)
        self._controls = self._make_instances('control', 1, folder)
        self._entries = self._make_instances('entry', 2, folder)
        self._operator = Operator(self._controls, self.evidence, self._rng)
        self._tasks: list[asyncio.Task[None]] = []
        self.plan = FaultPlan.from_seed(
            seed,
            length_s,
            tuple(one.name for one in self._controls),
            tuple(one.name for one in self._entries),
            tuple(target.place for target in self._targets),
            tuple(DOMAINS),
        )

    async def run(self) -> Evidence:
        """Play the plan and return what was seen."""
        try:
            await self._start()
            await self._play()
        finally:
            await self._stop()
        return self.evidence

    def _make_targets(self) -> list[Target]:
        places = itertools.product(
            SERVICES,
            DOMAINS,
            range(TARGETS_PER_DOMAIN),
        )
        return [
            Target(
                _host(3, number),
                service,
                domain,
                self.evidence,
            )
            for number, (service, domain, _) in enumerate(places, 1)
        ]

    def _make_instances(
        self,
        role: str,
        part: int,
        folder: pathlib.Path,
    ) -> list[Instance]:
        settings = {
            'role': role,
            'zones': DOMAINS,
            'seeds': [
                f'{_host(1, number)}:{OPERATORS_PORT}'
                for number in range(1, len(DOMAINS) + 1)
            ],
            'cloud': {'address': self._list.address, 'rate_per_s': 40},
            'bounds': {'grace_s': GRACE_S, 'retry_slack': 50},
        }
        return [
            Instance(
                f'{role}-{domain}',
                domain,
                _host(part, number),
                folder,
                settings,
                self.evidence,
            )
            for number, domain in enumerate(DOMAINS, 1)
        ]

    async def _start(self) -> None:
        await self._list.start()
        for target in self._targets:
            await target.start()
        for instance in self._controls + self._entries:
            await instance.start(first=True)
        async with asyncio.timeout(SETTLE_S):
            while not await self._operator.configure():
                await asyncio.sleep(0.1)
        instances = self._controls + self._entries
        for number in range(CALLERS):
            rng = random.Random(self._rng.random())  # noqa: S311
            caller = Caller(f'c{number}', instances, self.evidence, rng)
            self._tasks.append(asyncio.create_task(caller.run()))
        self._tasks.append(asyncio.create_task(self._operator.run_reads()))
        self._tasks.append(asyncio.create_task(self._watch_stalls()))

    async def _play(self) -> None:
        injector = Injector(
            self._controls + self._entries,
            self._targets,
            self._list,
            self._operator,
            self.evidence,
        )
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in self.plan.faults:
                wait_s = began + fault.at_s - time.monotonic()
                await asyncio.sleep(max(wait_s, 0))
                group.create_task(injector.inject(fault))
        self.evidence.fault_free_from = time.monotonic()
        # Orders may take longer than planned while controls are lost.
        left_s = began + self.plan.length_s - time.monotonic()
        await asyncio.sleep(max(left_s, FAULT_FREE_S))
        self.evidence.ended_at = time.monotonic()

    async def _watch_stalls(self) -> None:
        """Note when this process did not run."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(STALL_STEP_S)
            ended = time.monotonic()
            if ended - began > 2 * STALL_STEP_S:
                self.evidence.stalls.append((began + STALL_STEP_S, ended))

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for instance in self._controls + self._entries:
            await instance.close()
        for target in self._targets:
            await target.stop()
        await self._list.stop()


def _host(part: int, number: int) -> str:
    """Return a loopback address that no other soak on the machine uses.

    :param part: 1 for control instances, 2 for entry instances, 3 for
        targets, 4 for the list.
    :param number: number within the part.
    """
    high, low = divmod(os.getpid(), 200)
    return f'127.{16 + low}.{8 * (high % 30) + part}.{number}'
