"""Builds topologies of a given size for benchmarks."""

import msgspec

from cuminhoist.settings import (
    FailureDomain,
    Instance,
    RegionLink,
    RequestKind,
    Role,
    Service,
    Target,
    Topology,
)
from cuminhoist.types import (
    DomainName,
    InstanceName,
    KindName,
    RegionName,
    ServiceName,
    TargetName,
)

SERVICE = ServiceName('catalogue')


class Size(msgspec.Struct, frozen=True):
    """Size of a topology."""

    regions: int
    domains: int
    entries_per_domain: int
    targets_per_domain: int


#: Two-year plan: 20 regions; 73 failure domains with 53 nodes each, which
#: makes 3,869 of the 3,900 nodes; 460 sites, 6 or 7 per failure domain.
PLANNED = Size(20, 73, 53, 6)
TODAY = Size(3, 6, 2, 3)


def build_topology(size: Size) -> Topology:
    """Return a topology of the given size.

    :param size: the size.
    """
    domains = tuple(
        FailureDomain(
            name=DomainName(f'domain-{number}'),
            region=RegionName(f'region-{number % size.regions}'),
        )
        for number in range(size.domains)
    )
    return Topology(
        deployment='synthetic',
        domains=domains,
        links=_links(size),
        services=(
            Service(
                name=SERVICE, kinds=(RequestKind(name=KindName('browse')),)
            ),
        ),
        instances=tuple(
            _instance(domain.name, number)
            for domain in domains
            for number in range(size.entries_per_domain)
        ),
        targets=tuple(
            Target(
                name=TargetName(f'{domain.name}-target-{number}'),
                service=SERVICE,
                domain=domain.name,
                host='127.0.0.1',
                port=1,
            )
            for domain in domains
            for number in range(size.targets_per_domain)
        ),
    )


def _instance(domain: DomainName, number: int) -> Instance:
    return Instance(
        name=InstanceName(f'entry-{domain}-{number}'),
        domain=domain,
        host='127.0.0.1',
        http_port=1,
        internal_port=1,
        roles=(Role.entry,),
    )


def _links(size: Size) -> tuple[RegionLink, ...]:
    names = [RegionName(f'region-{number}') for number in range(size.regions)]
    return tuple(
        RegionLink(regions=(first, second), mbit_per_s=4000)
        for index, first in enumerate(names)
        for second in names[index + 1 :]
    )
