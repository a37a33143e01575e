"""Plays one soak: starts a deployment, injects faults, gathers evidence."""

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
from .plan import FAULT_FREE_S, PLAN_VERSION, STARTUP_S, FaultPlan
from .processes import GRACE_S, OPERATORS_PORT, Instance
from .upgrades import Upgrade, UpgradePlan
from .upstreams import SERVICES, Target, TargetList

#: Region of each failure domain.
DOMAINS = {'north-a': 'north', 'south-a': 'south', 'west-a': 'west'}
TARGETS_PER_DOMAIN = 2
CALLER_COUNT = 8
#: Time allowed until the first configuration is acknowledged, in seconds.
FIRST_CONFIGURATION_TIMEOUT_S = 10.0
#: Period of the check for stalls of the soak's own process, in seconds.
STALL_CHECK_PERIOD_S = 0.02


class Soak:
    """A deployment, its callers and the plan of its faults.

    :param seed: seed of the fault plan and of all random choices.
    :param length_s: length of the traffic, in seconds.
    :param folder: parent of the folders for logs, settings and disks.
    :param plan_version: version of the fault plan.
    :param former_build: checkout of a former version, to replace the
        instances of one version by those of the other; None for no upgrade.
    """

    def __init__(
        self,
        seed: int,
        length_s: float,
        folder: pathlib.Path,
        plan_version: int = PLAN_VERSION,
        former_build: pathlib.Path | None = None,
    ) -> None:
        self.evidence = Evidence()
        self._rng = random.Random(seed)  # noqa: S311
        self._targets = self._make_targets()
        self._target_list = TargetList(_host(4, 1), self._targets)
        self._controls = self._make_instances('control', 1, folder)
        self._entries = self._make_instances('entry', 2, folder)
        self._operator = Operator(self._controls, self.evidence, self._rng)
        self._tasks: list[asyncio.Task[None]] = []
        self.plan = FaultPlan.from_seed(
            seed,
            length_s,
            tuple(control.name for control in self._controls),
            tuple(entry.name for entry in self._entries),
            tuple(target.base_name for target in self._targets),
            tuple(DOMAINS),
            plan_version,
        )
        self.upgrade_plan = UpgradePlan.from_seed(
            seed,
            tuple(control.name for control in self._controls),
            tuple(entry.name for entry in self._entries),
            STARTUP_S,
            length_s - FAULT_FREE_S,
        )
        self._upgrade = former_build and Upgrade(
            self.upgrade_plan, self._controls + self._entries, former_build
        )

    async def run(self) -> Evidence:
        """Play the plan and return the evidence."""
        try:
            await self._start()
            await self._play_plan()
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
        network: int,
        folder: pathlib.Path,
    ) -> list[Instance]:
        settings = {
            'role': role,
            'zones': DOMAINS,
            'seeds': [
                f'{_host(1, number)}:{OPERATORS_PORT}'
                for number in range(1, len(DOMAINS) + 1)
            ],
            'cloud': {'address': self._target_list.address, 'rate_per_s': 40},
            'bounds': {'grace_s': GRACE_S, 'retry_slack': 50},
        }
        return [
            Instance(
                f'{role}-{domain}',
                domain,
                _host(network, number),
                folder,
                settings,
                self.evidence,
            )
            for number, domain in enumerate(DOMAINS, 1)
        ]

    async def _start(self) -> None:
        await self._target_list.start()
        for target in self._targets:
            await target.start()
        for instance in self._controls + self._entries:
            await instance.start(bootstrap=True)
        async with asyncio.timeout(FIRST_CONFIGURATION_TIMEOUT_S):
            while not await self._operator.configure():
                await asyncio.sleep(0.1)
        instances = self._controls + self._entries
        for number in range(CALLER_COUNT):
            rng = random.Random(self._rng.random())  # noqa: S311
            caller = Caller(f'c{number}', instances, self.evidence, rng)
            self._tasks.append(asyncio.create_task(caller.run()))
        self._tasks.append(asyncio.create_task(self._operator.run_reads()))
        self._tasks.append(asyncio.create_task(self._watch_stalls()))

    async def _play_plan(self) -> None:
        injector = Injector(
            self._controls + self._entries,
            self._targets,
            self._target_list,
            self._operator,
            self.evidence,
        )
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            if self._upgrade:
                group.create_task(self._upgrade.run())
            for fault in self.plan.faults:
                wait_s = began + fault.at_s - time.monotonic()
                await asyncio.sleep(max(wait_s, 0))
                group.create_task(injector.inject(fault))
        self.evidence.fault_free_from = time.monotonic()
        # Orders take longer than planned while control instances are down.
        left_s = began + self.plan.length_s - time.monotonic()
        await asyncio.sleep(max(left_s, FAULT_FREE_S))
        self.evidence.ended_at = time.monotonic()

    async def _watch_stalls(self) -> None:
        """Record the times in which this process did not run."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(STALL_CHECK_PERIOD_S)
            ended = time.monotonic()
            if ended - began > 2 * STALL_CHECK_PERIOD_S:
                self.evidence.stalls.append(
                    (began + STALL_CHECK_PERIOD_S, ended)
                )

    async def _stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for instance in self._controls + self._entries:
            await instance.close()
        for target in self._targets:
            await target.stop()
        await self._target_list.stop()


def _host(network: int, number: int) -> str:
    """Return a loopback address, which differs between running soaks.

    The process id decides the second and third octet. Process ids that
    differ by a multiple of 6000 give equal addresses.

    :param network: 1 for control instances, 2 for entry instances, 3 for
        targets, 4 for the list of targets.
    :param number: number of the host within its network.
    """
    high, low = divmod(os.getpid(), 200)
    return f'127.{16 + low}.{8 * (high % 30) + network}.{number}'
