"""Builders of test data."""

import asyncio
import pathlib
import socket
from collections.abc import Callable
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from cuminhoist.admission import Admission, AdmissionRequest
from cuminhoist.clock import Clock
from cuminhoist.codec import Message, Received
from cuminhoist.exceptions import TransportError
from cuminhoist.inforce import ConfigInForce
from cuminhoist.httpserver import HttpServer
from cuminhoist.clock import Clock
from cuminhoist.codec import Codec, Message
from cuminhoist.control import ControlLog, ReplicaStatus
from cuminhoist.exceptions import TransportError
from cuminhoist.lists import (
    Allowance,
    Allowances,
    Caller,
    Change,
    ChangeOutcome,
    Configuration,
    Plan,
    Plans,
    Unavailable,
)
from cuminhoist.settings import Settings, Topology, load_struct
from demo.deployment import free_ports, on_free_ports

__all__ = ('free_ports', 'on_free_ports')
from cuminhoist.rates import RateShares
from cuminhoist.settings import Settings, Target, Topology, load_struct
from cuminhoist.shift import ObservedCapacity, ShiftLimiter
from cuminhoist.slots import Slot, SlotOutcome, SlotSource
from cuminhoist.transport import ErrorReply, Transport
from cuminhoist.settings import Settings, Target, Topology, load_struct
from cuminhoist.settings import (
    FailureDomain,
    Instance,
    Role,
    Settings,
    Topology,
    load_struct,
)
from cuminhoist.state import ControlState
from cuminhoist.transport import ErrorReply, Transport
from cuminhoist.settings import (
    FailureDomain,
    Instance,
    Kind,
    Service,
    Settings,
    Target,
    Topology,
    load_struct,
)

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
CLUSTER_KEY = 'test-key'


def example_topology(deployment: str = 'porth-data') -> Topology:
    """Return the topology of an example as it stands in the file."""
    path = EXAMPLES / deployment / 'topology.json'
    return load_struct(path, Topology).unwrap()


def settings_of(
    topology: Topology,
    name: str,
    data_folder: str = '',
) -> Settings:
    """Return the settings of one instance of a topology."""
    return Settings.from_instance(
        topology.instance(name),
        'topology.json',
        CLUSTER_KEY,
        data_folder,
    )


def example_plans(deployment: str = 'porth-data') -> Plans:
    """Return the plans of an example."""
    return load_struct(EXAMPLES / deployment / 'plans.json', Plans).unwrap()


def example_allowances(deployment: str = 'porth-data') -> Allowances:
    """Return the allowances of an example."""
    path = EXAMPLES / deployment / 'allowances.json'
    return load_struct(path, Allowances).unwrap()


def small_plans(weight: float = 1) -> Plans:
    """Return plans with one caller."""
    return Plans(
        plans=(Plan(name='gold', weight=weight),),
        callers=(Caller(name='acme', plan='gold'),),
    )


def small_allowances(rate_per_s: float = 100) -> Allowances:
    """Return allowances with one plan for the catalogue."""
    return Allowances(
        allowances=(
            Allowance(
                plan='gold',
                service='catalogue',
                rate_per_s=rate_per_s,
            ),
        ),
    )


def plans_change(change_id: str, base: int, weight: float = 1) -> Change:
    """Return a change that replaces the plans."""
    return Change(
        change_id=change_id,
        base_version=base,
        plans=small_plans(weight),
    )


def config_of(
    version: int = 1,
    rate_per_s: float = 80,
    burst_s: float = 2,
    weights: tuple[float, ...] = (1,),
) -> Configuration:
    """Return a configuration with callers c0, c1... on a plan each."""
    return Configuration(
        version=version,
        plans=Plans(
            plans=tuple(
                Plan(name=f'p{turn}', weight=weight)
                for turn, weight in enumerate(weights)
            ),
            callers=tuple(
                Caller(name=f'c{turn}', plan=f'p{turn}')
                for turn, _ in enumerate(weights)
            ),
        ),
        allowances=Allowances(
            allowances=tuple(
                Allowance(
                    plan=f'p{turn}',
                    service='catalogue',
                    rate_per_s=rate_per_s,
                    burst_s=burst_s,
                )
                for turn, _ in enumerate(weights)
            ),
def grid_topology(
    domains: int,
    per_domain: int,
    controls: int = 3,
) -> Topology:
    """Return a topology with one control instance in the first domains."""
    names = [f'dom-{number:02}' for number in range(domains)]
    return Topology(
        deployment='grid',
        domains=tuple(
            FailureDomain(name=name, region=f'reg-{at // 2}')
            for at, name in enumerate(names)
        ),
        links=(),
        services=(),
        targets=(),
        instances=tuple(
            Instance(
                name=f'{name}-{number:02}',
                domain=name,
                host='127.0.0.1',
                http_port=1,
                internal_port=1,
                roles=(Role.control,)
                if number == 0 and at < controls
                else (Role.entry,),
            )
            for at, name in enumerate(names)
            for number in range(per_domain)
        ),
    )


class FakeTransport(Transport):
    """Calls peers of a shared network in memory.

    ``fate`` decides about each call: its outcomes are the number of copies
    that the peer handles, and whether the reply arrives.
    """

    def __init__(self, name: str, network: dict[str, 'FakeTransport']) -> None:
        super().__init__()
        self.name = name
        self.network = network
        self.before_reply: Callable[[], None] = lambda: None
        self.fate: Callable[[str, str], tuple[int, bool]] = lambda *_: (1, True)
        network[name] = self
class LoopClock(Clock):
    """The time of the running event loop, which looptime controls."""

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return asyncio.get_running_loop().time() + 1000

    def wall(self) -> float:
        """Return Unix time in seconds."""
        return self.now()


class FakeNetwork:
    """Carries frames between fake transports, with delays and cuts."""

    def __init__(self, delay_s: float = 0.001) -> None:
        self.transports: dict[str, FakeTransport] = {}
        self.delay_s = delay_s
        #: Tells whether frames from one instance to another get lost.
        self.is_cut: Callable[[str, str], bool] = lambda _from, _to: False
        #: Changes a reply on its way.
        self.tamper: Callable[[str, Message], Message] = lambda _to, msg: msg
        #: Instances that hold all frames until they resume.
        self.paused: dict[str, asyncio.Event] = {}
        self.calls: list[tuple[str, str, Message]] = []
        self.reply_bytes = 0

    async def carry(self, source: str, target: str) -> None:
        """Wait as long as a frame takes; for ever if it is lost."""
        await asyncio.sleep(self.delay_s)
        is_lost = not {source, target} <= self.transports.keys()
        if is_lost or self.is_cut(source, target):
            await asyncio.Event().wait()
        for name in (source, target):
            if name in self.paused:
                await self.paused[name].wait()


class FakeTransport(Transport):
    """A transport over a fake network, with encoded frames."""

    def __init__(self, name: str, network: FakeNetwork) -> None:
        super().__init__()
        self._name = name
        self._network = network
        self._codec = Codec(CLUSTER_KEY, name)
        network.transports[name] = self

    async def call(
        self,
        peer: str,
        msg: Message,
        timeout_s: float,
    ) -> Result[Message, TransportError]:
        copies, arrives = self.fate(self.name, peer)
        reply = None
        for _ in range(copies):
            reply = await self.network[peer].handle(Received(self.name, msg))
        self.before_reply()
        if reply is None or not arrives or isinstance(reply, ErrorReply):
            return Failure(TransportError(peer, 'timeout'))
        return Success(reply)


class LoopClock(Clock):
    """The time of the running event loop, for tests under looptime."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        return self.now()


class FakeSlot(Slot):
    """A slot that returns to its source when it is released."""

    def __init__(self, source: 'FakeSlots', service: str, name: str) -> None:
        self._source = source
        self._service = service
        self._target = Target(
            name=name,
            service=service,
            domain='d1',
            host='127.0.0.1',
            port=1,
        )
        self.outcome: SlotOutcome | None = None

    @property
    def target(self) -> Target:
        return self._target

    def release(self, outcome: SlotOutcome, latency_s: float) -> None:
        if self.outcome is None:
            self.outcome = outcome
            self._source.put_back(self._service, self._target.name)


class FakeSlots(SlotSource):
    """Slots of targets t0, t1... of one service; counts those in use."""

    def __init__(self, service: str = 'catalogue', slots: int = 2) -> None:
        self.usable = {service: slots}
        self.in_use: list[str] = []
        self.granted = 0
        self._listeners: list[Callable[[str], None]] = []

    def try_acquire(
        self,
        service: str,
        deadline_at: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Slot | None:
        names = {f't{turn}' for turn in range(self.usable_slots(service))}
        free = sorted(names - exclude - set(self.in_use))
        if not free:
            return None
        self.in_use.append(free[0])
        self.granted += 1
        return FakeSlot(self, service, free[0])

    def usable_slots(self, service: str) -> int:
        return self.usable.get(service, 0)

    def free_slots(self, service: str) -> int:
        return self.usable_slots(service) - len(self.in_use)

    def on_free(self, listener: Callable[[str], None]) -> None:
        self._listeners.append(listener)

    def put_back(self, service: str, name: str) -> None:
        self.in_use.remove(name)
        for listener in self._listeners:
            listener(service)


class AdmissionRig:
    """An admission with fake slots, on the time of the event loop."""

    def __init__(
        self,
        slots: int = 2,
        weights: tuple[float, ...] = (1,),
        rate_per_s: float = 10000,
        clock: Clock | None = None,
    ) -> None:
        self.clock = clock or LoopClock()
        self.slots = FakeSlots(slots=slots)
        self.in_force = ConfigInForce()
        self.in_force.advance(config_of(1, rate_per_s, 2, weights))
        self.weights = weights
        self.rates = RateShares(self.clock, self.in_force, 1)
        capacity = ObservedCapacity(example_topology(), 'gogledd')
        self.shift = ShiftLimiter(self.clock, self.in_force, capacity, 3)
        self.admission = Admission(
            self.clock,
            self.slots,
            self.rates,
            self.shift,
            'gogledd',
        )

    def request(
        self,
        caller: int = 0,
        deadline_s: float = 5,
        **fields: Any,
    ) -> AdmissionRequest:
        values: dict[str, Any] = {
            'service': 'catalogue',
            'caller': f'c{caller}',
            'plan': f'p{caller}',
            'plan_weight': self.weights[caller],
            'deadline_at': self.clock.now() + deadline_s,
            'origin_region': 'gogledd',
        }
        return AdmissionRequest(**(values | fields))
async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Read the head of an HTTP message from a socket."""
    return await reader.readuntil(b'\r\n\r\n')


class RawServer:
    """A server whose script decides every byte.

    :param script: called for each connection with reader and writer.
    """

    def __init__(self, script) -> None:
        self._script = script
        self._server = None
        self.connections = 0
        self.heads: list[bytes] = []
        self.closed = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> 'RawServer':
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._run,
            '127.0.0.1',
            0,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_exc) -> None:
        """Stop listening."""
        for task in self.tasks:
            task.cancel()
        self._server.close()

    async def head(self, reader: asyncio.StreamReader) -> bytes:
        """Read the head of a request and keep it."""
        head = await read_head(reader)
        self.heads.append(head)
        return head

    async def _run(self, reader, writer) -> None:
        self.connections += 1
        self.tasks.add(asyncio.current_task())
        try:
            await self._script(self, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            self.closed.set()
        except asyncio.CancelledError:
            return
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()


def raw_target(port: int, connections: int = 10, slots: int = 3) -> Target:
    """Return a target that listens on a port of this machine."""
    return Target(
        name='raw',
        service='catalogue',
        domain='de-cymru-a',
        host='127.0.0.1',
        port=port,
        slots=slots,
        connections=connections,
    )


class RunningServer:
    """An HTTP server for an ASGI application on a free port."""

    def __init__(self, app) -> None:
        self.port = free_ports(1)[0]
        self.server = HttpServer.from_app(app, '127.0.0.1', self.port)

    async def __aenter__(self) -> 'RunningServer':
        """Start the server."""
        self.task = asyncio.create_task(self.server.serve())
        while not self.server.started:
            await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *_exc) -> None:
        """Stop the server."""
        await self.stop()

    async def stop(self) -> None:
        """Stop the server as the daemon does."""
        self.server.begin_stop()
        await self.task

    async def connect(self):
        """Return reader and writer of a new connection."""
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def ask(self, request: bytes) -> bytes:
        """Send bytes on a new connection and read until it is closed."""
        reader, writer = await self.connect()
        writer.write(request)
        answer = await reader.read()
        writer.close()
        return answer
        """Send a request and wait for its reply."""
        network = self._network
        network.calls.append((self._name, peer, msg))
        try:
            async with asyncio.timeout(timeout_s):
                await network.carry(self._name, peer)
                target = network.transports[peer]
                received = target._codec.decode(self._codec.encode(msg))
                reply = await target.handle(received.unwrap())
                frame = target._codec.encode(reply)
                network.reply_bytes += len(frame)
                await network.carry(peer, self._name)
        except TimeoutError:
            return Failure(TransportError(peer, 'timeout'))
        reply = network.tamper(
            self._name, self._codec.decode(frame).unwrap().message
        )
        if isinstance(reply, ErrorReply):
            return Failure(TransportError(peer, reply.reason))
        return Success(reply)


class MemoryCluster:
    """The state that in-memory control logs share."""

    def __init__(self, names: tuple[str, ...], clock: Clock) -> None:
        self.state = ControlState()
        self.clock = clock
        self.leader = names[0]
        self.logs = {name: MemoryLog(name, self) for name in names}

    async def change(self, change: Change) -> ChangeOutcome:
        """Submit a change at the leader."""
        return await self.logs[self.leader].submit(change)


class MemoryLog(ControlLog):
    """An in-memory control log; an isolated one keeps its old state."""

    def __init__(self, name: str, cluster: MemoryCluster) -> None:
        self._name = name
        self._cluster = cluster
        self._held: Configuration | None = None
        self._isolated_at: float | None = None
        self._listeners: list[Callable[[Configuration], None]] = []
        self.submitted: list[Change] = []

    def isolate(self) -> None:
        """Cut the replica off from its majority."""
        self._isolated_at = self._cluster.clock.now()

    def heal(self) -> None:
        """Connect the replica again."""
        self._isolated_at = None
        self.learn(self._cluster.state.config)

    def learn(self, config: Configuration) -> None:
        """Commit a configuration here, unless the replica is isolated."""
        if self._isolated_at is None and config.version:
            self._held = config
            for listener in self._listeners:
                listener(config)

    async def submit(self, change: Change) -> ChangeOutcome:
        """Decide on a change at the leader."""
        self.submitted.append(change)
        if self._isolated_at is not None or self._name != self._cluster.leader:
            leader = self._cluster.leader
            return Unavailable(reason='not the leader', leader=leader)
        outcome = self._cluster.state.apply(change)
        for log in self._cluster.logs.values():
            log.learn(self._cluster.state.config)
        return outcome

    async def init(self) -> Result[str, str]:
        """Refuse, as the cluster exists."""
        return Failure('this replica belongs to a cluster')

    def committed(self) -> Configuration | None:
        """Return the newest committed configuration."""
        return self._held

    def confirmed_age_s(self) -> float | None:
        """Return the age of the last proof."""
        if self._isolated_at is None:
            return 0
        return self._cluster.clock.now() - self._isolated_at

    def on_commit(self, listener: Callable[[Configuration], None]) -> None:
        """Add a listener."""
        self._listeners.append(listener)

    def status(self) -> ReplicaStatus:
        """Return the state of the replica."""
        is_leader = self._name == self._cluster.leader
        version = 0 if self._held is None else self._held.version
        return ReplicaStatus(
            name=self._name,
            incarnation='i1',
            cluster_id='c1',
            role='leader' if is_leader else 'follower',
            term=1,
            leader=self._cluster.leader,
            commit_index=version,
            version=version,
            voters=tuple(self._cluster.logs),
        )
def cell_topology(
    entries: int = 3,
    targets: int = 4,
    deadline_ms: int = 2000,
) -> Topology:
    """Return one failure domain with one service."""
    return Topology(
        deployment='cell',
        domains=(FailureDomain(name='d1', region='r1'),),
        links=(),
        services=(
            Service(
                name='svc',
                kinds=(Kind(name='read', max_deadline_ms=deadline_ms),),
            ),
        ),
        instances=tuple(
            Instance(
                name=f'e{number}',
                domain='d1',
                host='127.0.0.1',
                http_port=20000 + number,
                internal_port=21000 + number,
            )
            for number in range(entries)
        ),
        targets=tuple(
            Target(
                name=f't{number}',
                service='svc',
                domain='d1',
                host='127.0.0.1',
                port=22000 + number,
            )
            for number in range(targets)
        ),
    )
