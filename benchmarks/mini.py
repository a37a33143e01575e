"""Configuration of a small deployment for benchmarks.

Its instances and targets run as separate processes on fixed ports.
"""

import pathlib

import msgspec

from cuminhoist.config_model import Allowance, Allowances, Caller, Plan, Plans
from cuminhoist.settings import (
    FailureDomain,
    Instance,
    RequestKind,
    Role,
    Service,
    Settings,
    Target,
    Topology,
)
from cuminhoist.types import (
    CallerName,
    DomainName,
    InstanceName,
    KindName,
    PlanName,
    RegionName,
    ServiceName,
    TargetName,
)

HOST = '127.0.0.1'
BARE_PORT = 23_900
FIRST_HTTP_PORT = 23_000
FIRST_INTERNAL_PORT = 23_100
FIRST_TARGET_PORT = 23_200
TARGET_COUNT = 16
CALLER = CallerName('bench')
SERVICE = ServiceName('catalogue')
KIND = KindName('browse')
_PLAN = PlanName('bench')
_DOMAIN = DomainName('bench-a')
_UNLIMITED_RATE_PER_S = 1_000_000.0


def build_topology(instances: int = 1) -> Topology:
    """Return a topology with one failure domain and one service.

    :param instances: number of entry instances; the first one is also the
        control instance.
    """
    return Topology(
        deployment='bench',
        domains=(FailureDomain(name=_DOMAIN, region=RegionName('bench')),),
        links=(),
        services=(
            Service(
                name=SERVICE,
                kinds=(RequestKind(name=KIND, max_deadline_ms=2000),),
            ),
        ),
        instances=tuple(_instance(number) for number in range(instances)),
        targets=tuple(
            Target(
                name=TargetName(f'catalogue-{number:02d}'),
                service=SERVICE,
                domain=_DOMAIN,
                host=HOST,
                port=FIRST_TARGET_PORT + number,
            )
            for number in range(TARGET_COUNT)
        ),
    )


def build_plans() -> Plans:
    """Return plans with one caller."""
    return Plans(
        plans=(Plan(name=_PLAN),),
        callers=(Caller(name=CALLER, plan=_PLAN),),
    )


def build_allowances() -> Allowances:
    """Return allowances with a rate that is never exceeded."""
    return Allowances(
        allowances=(
            Allowance(
                plan=_PLAN,
                service=SERVICE,
                rate_per_s=_UNLIMITED_RATE_PER_S,
            ),
        ),
    )


def write_files(folder: pathlib.Path, instances: int = 1) -> None:
    """Write topology, settings, plans and allowances into a folder.

    :param folder: the folder; it is created if it is missing.
    :param instances: number of entry instances.
    """
    folder.mkdir(parents=True, exist_ok=True)
    topology = build_topology(instances)
    _write(folder / 'topology.json', topology)
    _write(folder / 'plans.json', build_plans())
    _write(folder / 'allowances.json', build_allowances())
    for instance in topology.instances:
        cfg = Settings.from_instance(
            instance,
            'topology.json',
            'bench-key',
            str(folder / instance.name),
        )
        _write(folder / f'{instance.name}.json', cfg)


def _write(path: pathlib.Path, content: msgspec.Struct) -> None:
    path.write_bytes(msgspec.json.format(msgspec.json.encode(content)))


def _instance(number: int) -> Instance:
    roles = (Role.entry, Role.control) if number == 0 else (Role.entry,)
    return Instance(
        name=InstanceName(f'bench-{number}'),
        domain=_DOMAIN,
        host=HOST,
        http_port=FIRST_HTTP_PORT + number,
        internal_port=FIRST_INTERNAL_PORT + number,
        roles=roles,
    )
