"""Sends open-loop traffic of all request kinds of a deployment.

Arrivals are a Poisson process and don't wait for answers, so a slow system
gets no less load.
"""

import asyncio
import itertools
import random
from collections.abc import Iterator

import msgspec

from cuminhoist.config_model import Allowances, Plans
from cuminhoist.settings import Topology

from .callers import Caller, Outcome, Request, next_id

#: Body size in bytes by kind name; kinds that are not listed are GET requests.
BODY_BYTES_BY_KIND = {
    'publish': 600,
    'upload': 40_000,
    'booking': 300,
    'deposit': 200,
    'photo': 40_000,
    'inspection': 20_000,
}


class Mix(msgspec.Struct, frozen=True):
    """Request types and clients that traffic draws from, all equally likely.

    :param request_types: names of caller, service and kind.
    :param clients: client addresses.
    """

    request_types: tuple[tuple[str, str, str], ...]
    clients: tuple[str, ...]

    @classmethod
    def from_lists(
        cls,
        topology: Topology,
        plans: Plans,
        allowances: Allowances,
    ) -> 'Mix':
        """Build the mix of all kinds of services that callers may use.

        :param topology: the deployment.
        :param plans: the callers and their plans.
        :param allowances: the services that each plan may use.
        """
        pairs = itertools.product(plans.callers, topology.services)
        request_types = [
            (caller.name, service.name, kind.name)
            for caller, service in pairs
            if allowances.allowance(caller.plan, service.name)
            for kind in service.kinds
        ]
        clients = [
            block.network.replace('.0.0/16', '.0.7')
            for block in topology.blocks
        ]
        return cls(tuple(request_types), tuple(clients))


class Traffic:
    """Sends requests at random times without waiting for answers.

    :param topology: the deployment.
    :param mix: request types and clients to draw from.
    :param caller: sends the requests.
    :param rate_per_s: mean arrival rate of requests.
    :param seed: seed of the arrival times and of the draws.
    """

    def __init__(
        self,
        topology: Topology,
        mix: Mix,
        caller: Caller,
        rate_per_s: float,
        seed: int,
    ) -> None:
        self._topology = topology
        self._mix = mix
        self._caller = caller
        self._rate_per_s = rate_per_s
        self._random = random.Random(seed)  # noqa: S311
        self._tasks: set[asyncio.Task[None]] = set()
        self.outcomes: list[Outcome] = []

    async def run(self, seconds: float) -> None:
        """Send requests, then wait for their outcomes.

        :param seconds: for how long requests are sent.
        """
        loop = asyncio.get_running_loop()
        start = loop.time()
        for offset in self._arrivals(seconds):
            delay = start + offset - loop.time()
            if delay > 0:
                await asyncio.sleep(delay)
            task = asyncio.create_task(self._send(self._next_request()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*self._tasks)

    def _arrivals(self, seconds: float) -> Iterator[float]:
        offset = self._random.expovariate(self._rate_per_s)
        while offset < seconds:
            yield offset
            offset += self._random.expovariate(self._rate_per_s)

    def _next_request(self) -> Request:
        caller, service_name, kind_name = self._random.choice(
            self._mix.request_types,
        )
        service = self._topology.service(service_name)
        kind = service.kind(kind_name) if service else None
        if kind is None:
            raise LookupError(
                f'no kind {kind_name!r} in service {service_name!r}'
            )
        return Request(
            request_id=next_id(),
            caller=caller,
            service=service_name,
            kind=kind,
            client=self._random.choice(self._mix.clients),
            body_bytes=BODY_BYTES_BY_KIND.get(kind_name, 0),
            deadline_ms=kind.max_deadline_ms,
        )

    async def _send(self, req: Request) -> None:
        self.outcomes.append(await self._caller.send(req))
