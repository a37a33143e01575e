"""Fakes of targets, network and clock for tests of several entry instances.

All of them use the time of a simulated event loop.
"""

import asyncio
import collections
import dataclasses

from returns.result import Failure, Success

from cuminhoist.attempts import Answer
from cuminhoist.clock import Clock
from cuminhoist.codec import ReceivedMessage
from cuminhoist.config_model import (
    Allowance,
    Allowances,
    Caller,
    Configuration,
    Plan,
    Plans,
    ShiftCap,
)
from cuminhoist.exceptions import TransportError
from cuminhoist.peer_client import PeerClient
from cuminhoist.probes import HttpxProbeClient, ProbeResult
from cuminhoist.problems import Refusal
from cuminhoist.settings import (
    AddressBlock,
    FailureDomain,
    Instance,
    RegionLink,
    RequestKind,
    Service,
    Target,
    Topology,
)
from cuminhoist.slots import SlotOutcome
from cuminhoist.target_client import HttpxTargetClient
from cuminhoist.transport import Transport
from cuminhoist.types import Ran, Reason

SLOTS = 2
CONNECT_S = 1.0
DELAY_S = 0.001
CLIENT = {'a': '10.1.0.1', 'b': '10.2.0.1'}
KIND_OF = {'catalogue': 'browse', 'publisher': 'publish'}


def topology_of(per_domain=2, targets=2):
    """Return a topology of the domains a and b in the regions ra and rb.

    :param per_domain: entry instances in each domain.
    :param targets: targets of each service in each domain.
    """
    kinds = {
        name: RequestKind(
            name=kind, repeatable=kind == 'browse', max_deadline_ms=2000
        )
        for name, kind in KIND_OF.items()
    }
    return Topology(
        deployment='steering',
        domains=tuple(
            FailureDomain(name=domain, region=f'r{domain}') for domain in 'ab'
        ),
        links=(RegionLink(regions=('ra', 'rb'), mbit_per_s=4000),),
        services=tuple(
            Service(name=name, kinds=(kind,)) for name, kind in kinds.items()
        ),
        instances=tuple(
            Instance(
                name=f'{domain}{number}',
                domain=domain,
                host='127.0.0.1',
                http_port=1,
                internal_port=2,
            )
            for domain in 'ab'
            for number in range(1, per_domain + 1)
        ),
        targets=tuple(
            Target(
                name=f'{service}-{domain}{number}',
                service=service,
                domain=domain,
                host='127.0.0.1',
                port=3,
                slots=SLOTS,
            )
            for service in KIND_OF
            for domain in 'ab'
            for number in range(1, targets + 1)
        ),
        blocks=(
            AddressBlock(network='10.1.0.0/16', domain='a'),
            AddressBlock(network='10.2.0.0/16', domain='b'),
        ),
    )


def config(version=1, rate=1000, burst_s=2, weights=(1,), drains=()):
    """Return a configuration with callers c0, c1... on a plan each.

    :param rate: requests a second that each plan allows for a service.
    :param burst_s: seconds of the rate that a burst may use at once.
    :param weights: weight of each plan.
    """
    numbers = range(len(weights))
    return Configuration(
        version=version,
        plans=Plans(
            plans=tuple(
                Plan(name=f'p{number}', weight=weights[number])
                for number in numbers
            ),
            callers=tuple(
                Caller(name=f'c{number}', plan=f'p{number}')
                for number in numbers
            ),
        ),
        allowances=Allowances(
            allowances=tuple(
                Allowance(
                    plan=f'p{number}',
                    service=service,
                    rate_per_s=rate,
                    burst_s=burst_s,
                )
                for number in numbers
                for service in KIND_OF
            ),
            shift_caps=(
                ShiftCap(service='catalogue', percent=10, window_s=10),
            ),
        ),
        drains=drains,
    )


@dataclasses.dataclass
class Run:
    """One run of a request, as recorded by its target."""

    target: str
    instance: str
    request: str
    key: str
    started_at: float
    ended_at: float | None = None


class FakeTarget:
    """A target that records the start and the end of each run.

    ``mode`` is ok, fail (answers with status 500), hang (runs until the
    attempt's timeout), lose (runs the request and loses the answer) or shed
    (refuses it before it runs). A run goes on to its end when the attempt
    times out or is cancelled.
    """

    def __init__(self, world, target):
        self.world, self.target = world, target
        self.mode, self.run_s, self.draining = 'ok', 0.05, False
        self.running = 0
        self.max_running = 0
        self.attempts = 0

    async def run(self, node, attempt):
        started_at = self.world.now()
        self.attempts += 1
        if attempt.timeout_s <= 0:
            return _end_attempt(
                attempt, 0, SlotOutcome.not_run, Reason.deadline
            )
        if self.mode == 'shed':
            await asyncio.sleep(DELAY_S)
            return _end_attempt(
                attempt, DELAY_S, SlotOutcome.not_run, Reason.target_refused
            )
        mode = self.mode
        run_s = attempt.timeout_s if mode == 'hang' else self.run_s
        self._start(node, attempt, min(run_s, attempt.timeout_s))
        try:
            async with asyncio.timeout(attempt.timeout_s):
                await asyncio.sleep(10 * run_s if mode == 'hang' else run_s)
                await node.resumed.wait()
        except TimeoutError:
            await node.resumed.wait()
            spent_s = self.world.now() - started_at
            return _end_attempt(
                attempt, spent_s, SlotOutcome.unknown, Reason.target_timeout
            )
        except asyncio.CancelledError:
            attempt.on_end(SlotOutcome.unknown, self.world.now() - started_at)
            raise
        spent_s = self.world.now() - started_at
        if mode == 'lose':
            return _end_attempt(
                attempt, spent_s, SlotOutcome.unknown, Reason.target_lost
            )
        failed = mode == 'fail'
        attempt.on_end(
            SlotOutcome.failed if failed else SlotOutcome.answered, spent_s
        )
        headers = [(b'x-draining', b'1')] if self.draining else []
        return Success(
            Answer(500 if failed else 200, headers, body_of(b'done')),
        )

    def _start(self, node, attempt, run_s):
        names = dict(attempt.headers)
        run = Run(
            self.target.name,
            node.name,
            names[b'x-id'].decode(),
            names.get(b'idempotency-key', b'').decode(),
            self.world.now(),
        )
        self.world.runs.append(run)
        self.running += 1
        self.max_running = max(self.max_running, self.running)

        def end():
            self.running -= 1
            run.ended_at = self.world.now()

        asyncio.get_running_loop().call_later(run_s, end)


def _end_attempt(attempt, spent_s, outcome, reason):
    attempt.on_end(outcome, spent_s)
    return failed_attempt(reason, outcome)


def failed_attempt(reason, outcome=SlotOutcome.unknown):
    """Return the failure of an attempt that ended with an outcome."""
    not_run = outcome == SlotOutcome.not_run
    ran = Ran.not_run if not_run else Ran.unknown
    return Failure(Refusal(ran=ran, reason=reason, retry_after_ms=100))


async def body_of(body):
    yield body


class NodeClock(Clock):
    """The time of the loop; it stands still while the instance is paused."""

    def __init__(self, world):
        self._world, self.frozen_at = world, None

    def now(self):
        return self._world.now() if self.frozen_at is None else self.frozen_at

    def wall(self):
        return self.now()


class FakeTransport(Transport):
    """Carries messages between the instances of a world with a short delay."""

    def __init__(self, world, node):
        super().__init__()
        self._world, self._node = world, node

    async def call(self, peer, msg, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._exchange(self._world.nodes[peer], msg)
        except TimeoutError:
            await self._node.resumed.wait()
            return Failure(TransportError(peer, 'timeout'))
        await self._node.resumed.wait()
        return Success(reply)

    async def _exchange(self, peer, msg):
        never_done = asyncio.get_running_loop().create_future()
        await asyncio.sleep(DELAY_S)
        if not self._world.reaches(self._node, peer):
            await never_done
        reply = await asyncio.shield(peer.spawn(self._answer(peer, msg)))
        await asyncio.sleep(DELAY_S)
        if not self._world.reaches(peer, self._node):
            await never_done
        return reply

    async def _answer(self, peer, msg):
        await peer.resumed.wait()
        return await peer.transport.handle(
            ReceivedMessage(self._node.name, msg)
        )


class FakePeers(PeerClient):
    """Passes requests to the service of the receiving instance.

    ``losses`` makes the next hops fail, each 'before' or 'after' delivery.
    """

    def __init__(self, world, node):
        self._world, self._node = world, node
        self.losses = collections.deque()

    async def send(self, peer, route, origin, attempt):
        loss = self.losses.popleft() if self.losses else ''
        outcome = await self._carry(peer, route, origin, attempt, loss)
        attempt.on_end(_hop_outcome(outcome), 0.01)
        return outcome

    async def _carry(self, peer, route, origin, attempt, loss):
        receiver = self._world.nodes[peer.name]
        if not receiver.up:
            return failed_attempt(Reason.no_target, SlotOutcome.not_run)
        if not self._world.reaches(self._node, receiver):
            await asyncio.sleep(min(CONNECT_S, max(attempt.timeout_s, 0)))
            return failed_attempt(Reason.no_target, SlotOutcome.not_run)
        if loss == 'before':
            await asyncio.sleep(DELAY_S)
            return failed_attempt(Reason.target_lost)
        task = receiver.spawn(receiver.serve_hop(route, origin, attempt))
        try:
            async with asyncio.timeout(attempt.timeout_s):
                await asyncio.wait([task])
                while (
                    not self._world.reaches(receiver, self._node)
                    and receiver.up
                ):
                    await asyncio.sleep(0.1)
        except TimeoutError:
            _abort_hop(task)
            return failed_attempt(Reason.target_timeout)
        except asyncio.CancelledError:
            _abort_hop(task)
            attempt.on_end(SlotOutcome.unknown, 0)
            raise
        await self._node.resumed.wait()
        if task.cancelled() or loss == 'after':
            _abort_hop(task)
            return failed_attempt(Reason.target_lost)
        return task.result()

    async def close(self):
        """Do nothing, as there are no connections."""


def _abort_hop(task):
    """End a hop at the receiver, as the loss of its connection does."""
    if not task.done():
        task.cancel()
    elif not task.cancelled() and isinstance(task.result(), Success):
        task.result().unwrap().abort()


def _hop_outcome(outcome):
    if isinstance(outcome, Success):
        failed = outcome.unwrap().status >= 500
        return SlotOutcome.failed if failed else SlotOutcome.answered
    not_run = outcome.failure().ran == Ran.not_run
    return SlotOutcome.not_run if not_run else SlotOutcome.unknown


class FakeTargets(HttpxTargetClient):
    """Sends attempts to the fake targets."""

    def __init__(self, world, node):
        self._world, self._node = world, node

    async def send(self, target, attempt):
        return await self._world.targets[target.name].run(self._node, attempt)

    def register_target(self, target):
        """Do nothing, as there are no connection limits."""


class FakeProbes(HttpxProbeClient):
    """Probes the fake targets; a probe takes 6 ms."""

    def __init__(self, world):
        self._world = world

    async def probe(self, target, timeout_s):
        await asyncio.sleep(0.006)
        fake = self._world.targets[target.name]
        return ProbeResult(
            healthy=fake.mode in {'ok', 'lose'}, draining=fake.draining
        )
