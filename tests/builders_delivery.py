"""Fake network and in-memory control logs for the tests of delivery."""

import asyncio
from collections.abc import Callable

from returns.result import Failure, Result, Success

from cuminhoist.clock import Clock
from cuminhoist.codec import Codec, Message
from cuminhoist.config_model import (
    Change,
    ChangeOutcome,
    Configuration,
    Unavailable,
)
from cuminhoist.control_log import ControlLog, ReplicaStatus
from cuminhoist.control_state import ControlState
from cuminhoist.exceptions import TransportError
from cuminhoist.settings import (
    FailureDomain,
    Instance,
    Role,
    Topology,
)
from cuminhoist.transport import ErrorReply, Transport

from .builders import CLUSTER_KEY


def grid_topology(
    domains: int,
    per_domain: int,
    controls: int = 3,
) -> Topology:
    """Return a topology with equal domains, two to a region.

    The first instance of each of the first domains is a control instance.
    """
    names = [f'dom-{number:02}' for number in range(domains)]
    return Topology(
        deployment='grid',
        domains=tuple(
            FailureDomain(name=name, region=f'reg-{index // 2}')
            for index, name in enumerate(names)
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
                if number == 0 and index < controls
                else (Role.entry,),
            )
            for index, name in enumerate(names)
            for number in range(per_domain)
        ),
    )


class FakeNetwork:
    """Carries frames between fake transports, with delays and losses."""

    def __init__(self, delay_s: float = 0.001) -> None:
        self.transports: dict[str, FakeTransport] = {}
        self.delay_s = delay_s
        #: Returns whether frames from one instance to another are lost.
        self.is_cut: Callable[[str, str], bool] = lambda _from, _to: False
        #: Modifies a reply in transit; called with its receiver.
        self.tamper: Callable[[str, Message], Message] = lambda _to, msg: msg
        #: Paused instances; frames to and from them wait for the event.
        self.paused: dict[str, asyncio.Event] = {}
        self.calls: list[tuple[str, str, Message]] = []
        self.reply_bytes = 0

    async def carry(self, sender: str, receiver: str) -> None:
        """Wait for the duration of a transfer; never return if it is lost."""
        await asyncio.sleep(self.delay_s)
        for name in (sender, receiver):
            if name in self.paused:
                await self.paused[name].wait()
        is_unreachable = not {sender, receiver} <= self.transports.keys()
        if is_unreachable or self.is_cut(sender, receiver):
            await asyncio.Event().wait()


class FakeTransport(Transport):
    """A transport that sends encoded frames over a fake network."""

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
        """Send a request and wait for its reply."""
        network = self._network
        network.calls.append((self._name, peer, msg))
        try:
            async with asyncio.timeout(timeout_s):
                await network.carry(self._name, peer)
                receiver = network.transports[peer]
                received = receiver._codec.decode(self._codec.encode(msg))
                reply = await receiver.handle(received.unwrap())
                frame = receiver._codec.encode(reply)
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
    """The state that the in-memory control logs of a cluster share."""

    def __init__(self, names: tuple[str, ...], clock: Clock) -> None:
        self.state = ControlState()
        self.clock = clock
        self.leader = names[0]
        self.logs = {name: InMemoryControlLog(name, self) for name in names}

    async def change(self, change: Change) -> ChangeOutcome:
        """Submit a change at the leader."""
        return await self.logs[self.leader].submit(change)


class InMemoryControlLog(ControlLog):
    """An in-memory control log; while isolated, it keeps its old state."""

    def __init__(self, name: str, cluster: MemoryCluster) -> None:
        self._name = name
        self._cluster = cluster
        self._committed: Configuration | None = None
        self._isolated_at: float | None = None
        self._listeners: list[Callable[[Configuration], None]] = []
        self.submitted: list[Change] = []

    def isolate(self) -> None:
        """Disconnect the replica from its quorum."""
        if self._isolated_at is None:
            self._isolated_at = self._cluster.clock.now()

    def heal(self) -> None:
        """Reconnect the replica, and commit what it has missed."""
        self._isolated_at = None
        self.learn(self._cluster.state.config)

    def learn(self, config: Configuration) -> None:
        """Commit a configuration at this replica, unless it is isolated."""
        if self._isolated_at is None and config.version:
            self._committed = config
            for listener in self._listeners:
                listener(config)

    async def submit(self, change: Change) -> ChangeOutcome:
        """Decide on a change; only the leader does."""
        self.submitted.append(change)
        if self._isolated_at is not None or self._name != self._cluster.leader:
            leader = self._cluster.leader
            return Unavailable(reason='not the leader', leader=leader)
        outcome = self._cluster.state.apply(change)
        for replica_log in self._cluster.logs.values():
            replica_log.learn(self._cluster.state.config)
        return outcome

    async def bootstrap_cluster(self) -> Result[str, str]:
        """Refuse, as the replica belongs to a cluster already."""
        return Failure('this replica belongs to a cluster')

    def committed_config(self) -> Configuration | None:
        """Return the newest committed configuration."""
        return self._committed

    def confirmed_age_s(self) -> float | None:
        """Return the time since the replica was isolated, 0 while it is not."""
        if self._isolated_at is None:
            return 0
        return self._cluster.clock.now() - self._isolated_at

    def on_commit(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each committed configuration."""
        self._listeners.append(listener)

    def status(self) -> ReplicaStatus:
        """Return the state of the replica."""
        is_leader = self._name == self._cluster.leader
        version = 0 if self._committed is None else self._committed.version
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
