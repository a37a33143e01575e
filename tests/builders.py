"""Builders of test data."""

import pathlib
import socket
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from cuminhoist.codec import Message, Received
from cuminhoist.exceptions import TransportError
from cuminhoist.lists import (
    Allowance,
    Allowances,
    Caller,
    Change,
    Configuration,
    Plan,
    Plans,
)
from cuminhoist.settings import Settings, Topology, load_struct
from cuminhoist.transport import ErrorReply, Transport

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
CLUSTER_KEY = 'test-key'


def free_ports(count: int) -> list[int]:
    """Return TCP ports that nothing listens on."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(('127.0.0.1', 0))
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def example_topology(deployment: str = 'porth-data') -> Topology:
    """Return the topology of an example as it stands in the file."""
    path = EXAMPLES / deployment / 'topology.json'
    return load_struct(path, Topology).unwrap()


def on_free_ports(topology: Topology) -> Topology:
    """Return a topology with all listeners moved to free ports."""
    ports = iter(
        free_ports(2 * len(topology.instances) + len(topology.targets)),
    )
    replace = msgspec.structs.replace
    return replace(
        topology,
        instances=tuple(
            replace(
                instance,
                http_port=next(ports),
                internal_port=next(ports),
            )
            for instance in topology.instances
        ),
        targets=tuple(
            replace(target, port=next(ports)) for target in topology.targets
        ),
    )


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
