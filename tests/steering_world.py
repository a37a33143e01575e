"""Several whole entry instances on fakes, with a controlled clock."""

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
    """Return domains a and b in regions ra and rb."""
    kinds = {
        name: RequestKind(
            name=kind, repeatable=kind == 'browse', max_deadline_ms=2000
        )
        for name, kind in KIND_OF.items()
    }
    return Topology(
        deployment='steering',
        domains=tuple(
            FailureDomain(name=dom, region=f'r{dom}') for dom in 'ab'
        ),
        links=(RegionLink(regions=('ra', 'rb'), mbit_per_s=4000),),
        services=tuple(
            Service(name=name, kinds=(kind,)) for name, kind in kinds.items()
        ),
        instances=tuple(
            Instance(
                name=f'{dom}{turn}',
                domain=dom,
                host='127.0.0.1',
                http_port=1,
                internal_port=2,
            )
            for dom in 'ab'
            for turn in range(1, per_domain + 1)
        ),
        targets=tuple(
            Target(
                name=f'{service}-{dom}{turn}',
                service=service,
                domain=dom,
                host='127.0.0.1',
                port=3,
                slots=SLOTS,
            )
            for service in KIND_OF
            for dom in 'ab'
            for turn in range(1, targets + 1)
        ),
        blocks=(
            AddressBlock(network='10.1.0.0/16', domain='a'),
            AddressBlock(network='10.2.0.0/16', domain='b'),
        ),
    )


def config(version=1, rate=1000, burst_s=2, weights=(1,), drains=()):
    """Return a configuration with callers c0, c1... on a plan each."""
    turns = range(len(weights))
    return Configuration(
        version=version,
        plans=Plans(
            plans=tuple(
                Plan(name=f'p{at}', weight=weights[at]) for at in turns
            ),
            callers=tuple(Caller(name=f'c{at}', plan=f'p{at}') for at in turns),
        ),
        allowances=Allowances(
            allowances=tuple(
                Allowance(
                    plan=f'p{at}',
                    service=service,
                    rate_per_s=rate,
                    burst_s=burst_s,
                )
                for at in turns
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
    """One run of a request at a target, as the target saw it."""

    target: str
    instance: str
    request: str
    key: str
    started_at: float
    ended_at: float | None = None


class FakeTarget:
    """A target that records each start and end.

    ``mode`` is ok, fail, hang, lose or shed; a request that hangs or whose
    caller has gone is worked on to its end.
    """

    def __init__(self, world, target):
        self.world, self.target = world, target
        self.mode, self.work_s, self.draining = 'ok', 0.05, False
        self.running = 0
        self.most = 0
        self.attempts = 0

    async def run(self, node, attempt):
        started_at = self.world.now()
        self.attempts += 1
        if attempt.timeout_s <= 0:
            return _end(attempt, 0, SlotOutcome.not_run, Reason.deadline)
        if self.mode == 'shed':
            await asyncio.sleep(DELAY_S)
            return _end(
                attempt, DELAY_S, SlotOutcome.not_run, Reason.target_refused
            )
        mode = self.mode
        work_s = attempt.timeout_s if mode == 'hang' else self.work_s
        self._start(node, attempt, min(work_s, attempt.timeout_s))
        try:
            async with asyncio.timeout(attempt.timeout_s):
                await asyncio.sleep(10 * work_s if mode == 'hang' else work_s)
                await node.gate.wait()
        except TimeoutError:
            await node.gate.wait()
            spent = self.world.now() - started_at
            return _end(
                attempt, spent, SlotOutcome.unknown, Reason.target_timeout
            )
        except asyncio.CancelledError:
            attempt.on_end(SlotOutcome.unknown, self.world.now() - started_at)
            raise
        spent = self.world.now() - started_at
        if mode == 'lose':
            return _end(attempt, spent, SlotOutcome.unknown, Reason.target_lost)
        failed = mode == 'fail'
        attempt.on_end(
            SlotOutcome.failed if failed else SlotOutcome.answered, spent
        )
        headers = [(b'x-draining', b'1')] if self.draining else []
        return Success(
            Answer(500 if failed else 200, headers, chunks(b'done')),
        )

    def _start(self, node, attempt, work_s):
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
        self.most = max(self.most, self.running)

        def end():
            self.running -= 1
            run.ended_at = self.world.now()

        asyncio.get_running_loop().call_later(work_s, end)


def _end(attempt, spent, outcome, reason):
    attempt.on_end(outcome, spent)
    return lost(reason, outcome)


def lost(reason, outcome=SlotOutcome.unknown):
    not_run = outcome == SlotOutcome.not_run
    ran = Ran.not_run if not_run else Ran.unknown
    return Failure(Refusal(ran=ran, reason=reason, retry_after_ms=100))


async def chunks(body):
    yield body


class NodeClock(Clock):
    """The time of the loop; it stands still while the process is paused."""

    def __init__(self, world):
        self._world, self.frozen_at = world, None

    def now(self):
        return self._world.now() if self.frozen_at is None else self.frozen_at

    def wall(self):
        return self.now()


class FakeTransport(Transport):
    """Carries messages between the instances of a world."""

    def __init__(self, world, node):
        super().__init__()
        self._world, self._node = world, node

    async def call(self, peer, msg, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._exchange(self._world.nodes[peer], msg)
        except TimeoutError:
            await self._node.gate.wait()
            return Failure(TransportError(peer, 'timeout'))
        await self._node.gate.wait()
        return Success(reply)

    async def _exchange(self, peer, msg):
        never = asyncio.get_running_loop().create_future()
        await asyncio.sleep(DELAY_S)
        if not self._world.reaches(self._node, peer):
            await never
        reply = await asyncio.shield(peer.spawn(self._answer(peer, msg)))
        await asyncio.sleep(DELAY_S)
        if not self._world.reaches(peer, self._node):
            await never
        return reply

    async def _answer(self, peer, msg):
        await peer.gate.wait()
        return await peer.transport.handle(
            ReceivedMessage(self._node.name, msg)
        )


class FakePeers(PeerClient):
    """Hands requests to the service of the other instance.

    ``lose`` tells for the next hops: 'before' or 'after' delivery.
    """

    def __init__(self, world, node):
        self._world, self._node = world, node
        self.lose = collections.deque()

    async def send(self, peer, route, origin, attempt):
        fate = self.lose.popleft() if self.lose else ''
        outcome = await self._carry(peer, route, origin, attempt, fate)
        attempt.on_end(_hop_outcome(outcome), 0.01)
        return outcome

    async def _carry(self, peer, route, origin, attempt, fate):
        other = self._world.nodes[peer.name]
        if not other.up:
            return lost(Reason.no_target, SlotOutcome.not_run)
        if not self._world.reaches(self._node, other):
            await asyncio.sleep(min(CONNECT_S, max(attempt.timeout_s, 0)))
            return lost(Reason.no_target, SlotOutcome.not_run)
        if fate == 'before':
            await asyncio.sleep(DELAY_S)
            return lost(Reason.target_lost)
        task = other.spawn(other.serve_hop(route, origin, attempt))
        try:
            async with asyncio.timeout(attempt.timeout_s):
                await asyncio.wait([task])
                while not self._world.reaches(other, self._node) and other.up:
                    await asyncio.sleep(0.1)
        except TimeoutError:
            _disconnect(task)
            return lost(Reason.target_timeout)
        except asyncio.CancelledError:
            _disconnect(task)
            attempt.on_end(SlotOutcome.unknown, 0)
            raise
        await self._node.gate.wait()
        if task.cancelled() or fate == 'after':
            _disconnect(task)
            return lost(Reason.target_lost)
        return task.result()

    async def close(self):
        """Hold no connection."""


def _disconnect(task):
    """End a hop at the receiver, as a lost connection does."""
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
        """Need no limits."""


class FakeProbes(HttpxProbeClient):
    """Probes the fake targets."""

    def __init__(self, world):
        self._world = world

    async def probe(self, target, timeout_s):
        await asyncio.sleep(0.006)
        fake = self._world.targets[target.name]
        return ProbeResult(
            healthy=fake.mode in {'ok', 'lose'}, draining=fake.draining
        )
