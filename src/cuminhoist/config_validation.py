"""Checks of the files and changes that operators write."""

import ipaddress
import math

from .config_model import (
    Allowance,
    Allowances,
    Change,
    Configuration,
    Drain,
    Plans,
)
from .exceptions import FieldError
from .settings import Role, Service, Settings, Topology
from .types import DrainScope
from .validation import Validator

MAX_DOMAINS = 1000
MAX_SERVICES = 1000
MAX_INSTANCES = 20_000
MAX_TARGETS = 100_000
MAX_BLOCKS = 10_000_000
MAX_PLANS = 1000
MAX_CALLERS = 100_000
MAX_ALLOWANCES = 20_000
MAX_DRAINS = 10_000
MAX_WEIGHT = 1_000_000
MIN_WEIGHT = 0.001
MAX_RATE_PER_S = 1_000_000_000
MAX_SECONDS = 3600
MIN_LOOKUP_LIFETIME_S = 1
MAX_LOOKUP_LIFETIME_S = 300
MAX_DEADLINE_MS = 600_000
MAX_SLOTS = 100_000
MAX_MBIT_PER_S = 100_000_000
#: Unix time in the year 2286; milliseconds by mistake are beyond it.
MAX_UNIX_S = 10_000_000_000
MAX_VERSION = 2**53
LOG_LEVELS = ('TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR', 'CRITICAL')


def check_topology(
    topology: Topology,
    file: str = 'topology',
) -> tuple[FieldError, ...]:
    """Return the faults of a topology.

    :param topology: the topology.
    :param file: name of its file.
    """
    faults = Validator(file)
    sizes = (
        faults.check_size('domains', topology.domains, MAX_DOMAINS),
        faults.check_size('services', topology.services, MAX_SERVICES),
        faults.check_size('instances', topology.instances, MAX_INSTANCES),
        faults.check_size('targets', topology.targets, MAX_TARGETS),
        faults.check_size('blocks', topology.blocks, MAX_BLOCKS),
    )
    if not all(sizes):
        return faults.errors()
    _check_domains(faults, topology)
    for at, service in enumerate(topology.services):
        _check_service(faults, f'services[{at}]', service)
    faults.check_unique('services', (each.name for each in topology.services))
    _check_instances(faults, topology)
    _check_targets(faults, topology)
    _check_blocks(faults, topology)
    if topology.platform_url:
        _check_url(faults, topology.platform_url)
    return faults.errors()


def check_settings(
    cfg: Settings,
    topology: Topology | None = None,
    file: str = 'settings',
) -> tuple[FieldError, ...]:
    """Return the faults of the settings of one daemon.

    :param cfg: the settings.
    :param topology: its topology, if that could be read.
    :param file: name of its file.
    """
    faults = Validator(file)
    faults.check_instance_name('name', cfg.name)
    faults.check_address(
        '$',
        cfg.host,
        {'http_port': cfg.http_port, 'internal_port': cfg.internal_port},
    )
    if not cfg.cluster_key:
        faults.add('cluster_key', 'must not be empty')
    if not cfg.roles:
        faults.add('roles', 'must not be empty', tuple(Role))
    if Role.control in cfg.roles and not cfg.data_folder:
        faults.add('data_folder', 'is needed by a control instance')
    faults.check_range(
        'lookup_lifetime_s',
        cfg.lookup_lifetime_s,
        MIN_LOOKUP_LIFETIME_S,
        MAX_LOOKUP_LIFETIME_S,
    )
    if not cfg.probe_path.startswith('/'):
        faults.add('probe_path', f'{cfg.probe_path[:64]!r} must begin with "/"')
    if cfg.logs.level not in LOG_LEVELS:
        faults.check_known('logs.level', cfg.logs.level, LOG_LEVELS)
    if cfg.statsd.host:
        faults.check_address(
            'statsd', cfg.statsd.host, {'port': cfg.statsd.port}
        )
    if topology is not None:
        _check_listed(faults, cfg, topology)
    return faults.errors()


def check_plans(plans: Plans, file: str = 'plans') -> tuple[FieldError, ...]:
    """Return the faults of the list of plans.

    :param plans: the list.
    :param file: name of its file.
    """
    faults = Validator(file)
    sizes = (
        faults.check_size('plans', plans.plans, MAX_PLANS),
        faults.check_size('callers', plans.callers, MAX_CALLERS),
    )
    if not all(sizes):
        return faults.errors()
    for at, plan in enumerate(plans.plans):
        faults.check_name(f'plans[{at}].name', plan.name)
        faults.check_range(
            f'plans[{at}].weight', plan.weight, MIN_WEIGHT, MAX_WEIGHT
        )
    faults.check_unique('plans', (each.name for each in plans.plans))
    names = {each.name for each in plans.plans}
    for at, caller in enumerate(plans.callers):
        faults.check_name(f'callers[{at}].name', caller.name)
        faults.check_known(f'callers[{at}].plan', caller.plan, names)
    faults.check_unique('callers', (each.name for each in plans.callers))
    return faults.errors()


def check_allowances(
    allowances: Allowances,
    topology: Topology,
    plans: Plans | None = None,
    file: str = 'allowances',
) -> tuple[FieldError, ...]:
    """Return the faults of the list of allowances.

    :param allowances: the list.
    :param topology: the deployment, which names services and kinds.
    :param plans: the list of plans, if it is known.
    :param file: name of its file.
    """
    faults = Validator(file)
    sizes = (
        faults.check_size('allowances', allowances.allowances, MAX_ALLOWANCES),
        faults.check_size('shift_caps', allowances.shift_caps, MAX_SERVICES),
    )
    if not all(sizes):
        return faults.errors()
    services = {service.name: service for service in topology.services}
    names = None if plans is None else {plan.name for plan in plans.plans}
    for at, item in enumerate(allowances.allowances):
        field = f'allowances[{at}]'
        faults.check_name(f'{field}.plan', item.plan)
        if names is not None:
            faults.check_known(f'{field}.plan', item.plan, names)
        faults.check_known(f'{field}.service', item.service, services)
        faults.check_range(
            f'{field}.rate_per_s', item.rate_per_s, 0, MAX_RATE_PER_S
        )
        faults.check_range(f'{field}.burst_s', item.burst_s, 0.001, MAX_SECONDS)
        _check_kinds(faults, field, item.kinds, services.get(item.service))
        _check_rate(faults, field, item, topology)
    faults.check_unique(
        'allowances',
        ((each.plan, each.service) for each in allowances.allowances),
    )
    for at, cap in enumerate(allowances.shift_caps):
        field = f'shift_caps[{at}]'
        faults.check_known(f'{field}.service', cap.service, services)
        faults.check_range(f'{field}.percent', cap.percent, 0, 100)
        faults.check_range(f'{field}.window_s', cap.window_s, 1, MAX_SECONDS)
    faults.check_unique(
        'shift_caps', (each.service for each in allowances.shift_caps)
    )
    return faults.errors()


def check_drain(
    drain: Drain,
    topology: Topology,
    file: str = 'drain',
) -> tuple[FieldError, ...]:
    """Return the faults of a drain.

    :param drain: the drain.
    :param topology: the deployment, which names what can be drained.
    :param file: name of its file, or ``body``.
    """
    faults = Validator(file)
    names: dict[DrainScope, set[str]] = {
        DrainScope.upstream: {item.name for item in topology.targets},
        DrainScope.domain: {item.name for item in topology.domains},
        DrainScope.region: {item.region for item in topology.domains},
        DrainScope.entry: {item.name for item in topology.entry_instances()},
    }
    faults.check_known('name', drain.name, names[drain.scope])
    faults.check_range('starts_at', drain.starts_at, 0, MAX_UNIX_S)
    return faults.errors()


def check_change(
    change: Change,
    topology: Topology,
    config: Configuration | None,
    file: str = 'body',
) -> tuple[FieldError, ...]:
    """Return the faults of a change.

    :param change: the change.
    :param topology: the deployment.
    :param config: the configuration in force, if there is one.
    :param file: name of what holds the change.
    """
    faults = Validator(file)
    faults.check_name('change_id', change.change_id)
    faults.check_range('base_version', change.base_version, 0, MAX_VERSION)
    parts = (change.plans, change.allowances, change.drain, change.undrain)
    if sum(part is not None for part in parts) != 1:
        faults.add(
            '$',
            'must set exactly one part',
            ('plans', 'allowances', 'drain', 'undrain'),
        )
    found = faults.errors()
    if change.plans is not None:
        found += check_plans(change.plans, f'{file}: plans')
    if change.allowances is not None:
        plans = None if config is None else config.plans
        found += check_allowances(
            change.allowances, topology, plans, f'{file}: allowances'
        )
    if change.drain is not None:
        found += check_drain(change.drain, topology, f'{file}: drain')
        if config is not None and len(config.drains) >= MAX_DRAINS:
            found += (FieldError(file, 'drain', 'too many drains in force'),)
    return found


def _check_domains(faults: Validator, topology: Topology) -> None:
    for at, domain in enumerate(topology.domains):
        faults.check_name(f'domains[{at}].name', domain.name)
        faults.check_name(f'domains[{at}].region', domain.region)
    faults.check_unique('domains', (each.name for each in topology.domains))
    regions = {item.region for item in topology.domains}
    for at, link in enumerate(topology.links):
        for region in link.regions:
            faults.check_known(f'links[{at}].regions', region, regions)
        if len(set(link.regions)) == 1:
            faults.add(f'links[{at}].regions', 'joins a region with itself')
        faults.check_range(
            f'links[{at}].mbit_per_s', link.mbit_per_s, 1, MAX_MBIT_PER_S
        )
    pairs = (tuple(sorted(each.regions)) for each in topology.links)
    faults.check_unique('links', pairs)


def _check_service(faults: Validator, field: str, service: Service) -> None:
    faults.check_name(f'{field}.name', service.name)
    if not service.kinds:
        faults.add(f'{field}.kinds', 'must not be empty')
    for at, kind in enumerate(service.kinds):
        inner = f'{field}.kinds[{at}]'
        faults.check_name(f'{inner}.name', kind.name)
        faults.check_range(
            f'{inner}.weight', kind.weight, MIN_WEIGHT, MAX_WEIGHT
        )
        faults.check_range(
            f'{inner}.max_deadline_ms', kind.max_deadline_ms, 1, MAX_DEADLINE_MS
        )
    faults.check_unique(f'{field}.kinds', (each.name for each in service.kinds))


def _check_instances(faults: Validator, topology: Topology) -> None:
    domains = {item.name for item in topology.domains}
    listeners: list[object] = []
    for at, item in enumerate(topology.instances):
        field = f'instances[{at}]'
        faults.check_instance_name(f'{field}.name', item.name)
        faults.check_known(f'{field}.domain', item.domain, domains)
        ports = {
            'http_port': item.http_port,
            'internal_port': item.internal_port,
        }
        faults.check_address(field, item.host, ports)
        if not item.roles:
            faults.add(f'{field}.roles', 'must not be empty', tuple(Role))
        if item.http_port == item.internal_port:
            faults.add(f'{field}.internal_port', 'is also the http_port')
        listeners.append((item.host, item.http_port))
    faults.check_unique('instances', (each.name for each in topology.instances))
    faults.check_unique('instances', listeners)
    if not topology.control_instances():
        faults.add('instances', 'none has the role control')


def _check_targets(faults: Validator, topology: Topology) -> None:
    domains = {item.name for item in topology.domains}
    services = {item.name for item in topology.services}
    for at, item in enumerate(topology.targets):
        field = f'targets[{at}]'
        faults.check_name(f'{field}.name', item.name)
        faults.check_known(f'{field}.service', item.service, services)
        faults.check_known(f'{field}.domain', item.domain, domains)
        faults.check_address(field, item.host, {'port': item.port})
        faults.check_range(f'{field}.slots', item.slots, 1, MAX_SLOTS)
        faults.check_range(
            f'{field}.connections', item.connections, 1, MAX_SLOTS
        )
    faults.check_unique('targets', (each.name for each in topology.targets))


def _check_blocks(faults: Validator, topology: Topology) -> None:
    domains = {item.name for item in topology.domains}
    for at, block in enumerate(topology.blocks):
        faults.check_known(f'blocks[{at}].domain', block.domain, domains)
        try:
            ipaddress.ip_network(block.network)
        except ValueError as exc:
            faults.add(f'blocks[{at}].network', str(exc))
    faults.check_unique('blocks', (each.network for each in topology.blocks))


def _check_url(faults: Validator, url: str) -> None:
    scheme, _, rest = url.partition('://')
    if scheme not in {'http', 'https'} or not rest:
        faults.add('platform_url', f'{url!r} is not an HTTP address')


def _check_kinds(
    faults: Validator,
    field: str,
    kinds: tuple[str, ...],
    service: Service | None,
) -> None:
    if service is None:
        return
    allowed = {kind.name for kind in service.kinds}
    for at, kind in enumerate(kinds):
        faults.check_known(f'{field}.kinds[{at}]', kind, allowed)
    faults.check_unique(f'{field}.kinds', kinds)


def _check_rate(
    faults: Validator,
    field: str,
    item: Allowance,
    topology: Topology,
) -> None:
    service = topology.service(item.service)
    entries = len(topology.entry_instances())
    weights = [
        kind.weight
        for kind in (service.kinds if service else ())
        if not item.kinds or kind.name in item.kinds
    ]
    if not weights or not entries or not item.burst_s > 0:
        return
    # An instance's share of the burst must hold the heaviest request.
    least = max(weights) * entries / item.burst_s
    if item.rate_per_s < least:
        faults.add(
            f'{field}.rate_per_s',
            f'{item.rate_per_s:g} is too low: requests of weight '
            f'{max(weights):g} would always be refused; with burst_s '
            f'{item.burst_s:g} and {entries} entry instances the least '
            f'rate is {_round_up(least)}',
        )


def _round_up(number: float) -> str:
    # Never below the number itself, which would be refused again.
    return f'{math.ceil(number * 1000) / 1000:.12g}'


def _check_listed(faults: Validator, cfg: Settings, topology: Topology) -> None:
    by_name = {item.name: item for item in topology.instances}
    faults.check_known('name', cfg.name, by_name)
    listed = by_name.get(cfg.name)
    if listed is None:
        return
    for field in ('domain', 'host', 'http_port', 'internal_port'):
        wanted = getattr(listed, field)
        if getattr(cfg, field) != wanted:
            faults.add(field, 'differs from the topology', (str(wanted),))
    if set(cfg.roles) != set(listed.roles):
        faults.add('roles', 'differ from the topology', listed.roles)
