"""Builders of test data for ownership."""

from cuminhoist.settings import (
    FailureDomain,
    Instance,
    RequestKind,
    Service,
    Target,
    Topology,
)


def cell_topology(
    entries: int = 3,
    targets: int = 4,
    deadline_ms: int = 2000,
) -> Topology:
    """Return a topology of one failure domain with one service.

    :param entries: number of entry instances.
    :param targets: number of targets, of three slots each by default.
    :param deadline_ms: longest deadline of the service.
    """
    return Topology(
        deployment='cell',
        domains=(FailureDomain(name='d1', region='r1'),),
        links=(),
        services=(
            Service(
                name='svc',
                kinds=(RequestKind(name='read', max_deadline_ms=deadline_ms),),
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
