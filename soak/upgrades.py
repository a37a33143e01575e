"""Replaces the instances of a deployment by another build, one by one."""

import asyncio
import pathlib
import random
from typing import Self

import msgspec

from .processes import Instance

#: Fraction of the time of the faults after which the first instance is
#: replaced, and the one until which all are.
FIRST_FRACTION = 0.1
LAST_FRACTION = 0.9
#: Pause between the end of the former build and the start of the next one, in
#: seconds.
SWITCH_S = 0.3


class UpgradePlan(msgspec.Struct, frozen=True):
    """Order and times of the replacements.

    :param order: names of the instances, the first one first.
    :param at_s: when each is replaced, in seconds after the start of the
        traffic.
    :param downgrade: whether the present build runs first.
    """

    order: tuple[str, ...]
    at_s: tuple[float, ...]
    downgrade: bool

    @classmethod
    def from_seed(
        cls,
        seed: int,
        controls: tuple[str, ...],
        entries: tuple[str, ...],
        begin_s: float,
        end_s: float,
    ) -> Self:
        """Draw a plan; equal arguments give equal plans.

        :param seed: seed of the random numbers.
        :param controls: names of control instances.
        :param entries: names of entry instances.
        :param begin_s: begin of the faults, in seconds.
        :param end_s: their end, in seconds.
        """
        rng = random.Random(seed)  # noqa: S311
        order = rng.choice(
            (
                (*controls, *entries),
                (*entries, *controls),
                tuple(
                    rng.sample(controls + entries, k=len(controls + entries))
                ),
            )
        )
        first_s = begin_s + FIRST_FRACTION * (end_s - begin_s)
        last_s = begin_s + LAST_FRACTION * (end_s - begin_s)
        step_s = (last_s - first_s) / len(order)
        return cls(
            order,
            tuple(first_s + step_s * place for place in range(len(order))),
            downgrade=rng.random() < 1 / 3,
        )


class Upgrade:
    """Runs a deployment in two builds.

    :param plan: order and times of the replacements.
    :param instances: control and entry instances.
    :param former_build: checkout of the former version.
    """

    def __init__(
        self,
        plan: UpgradePlan,
        instances: list[Instance],
        former_build: pathlib.Path,
    ) -> None:
        self._plan = plan
        self._instances = {instance.name: instance for instance in instances}
        present_build = instances[0].build
        self._next = former_build if plan.downgrade else present_build
        for instance in instances:
            instance.build = present_build if plan.downgrade else former_build

    async def run(self) -> None:
        """Replace all instances; begins with the traffic."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        for name, at_s in zip(self._plan.order, self._plan.at_s, strict=True):
            await asyncio.sleep(max(began + at_s - loop.time(), 0))
            await self._replace(self._instances[name])

    async def _replace(self, instance: Instance) -> None:
        async with instance.restart_lock:
            await instance.terminate()
            instance.build = self._next
            await asyncio.sleep(SWITCH_S)
            await instance.start()
