"""Builders of test data."""

import pathlib
import socket

import msgspec

from cuminhoist.lists import (
    Allowance,
    Allowances,
    Caller,
    Change,
    Plan,
    Plans,
)
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
