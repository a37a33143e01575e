"""Validates settings, topologies, the operators' lists, and changes.

The daemon and the command-line tool check files before they use them; a
control instance checks each change before it enters the control log.
"""

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

# Upper limits on the number of items in each list.
MAX_DOMAINS = 1000
MAX_SERVICES = 1000
MAX_INSTANCES = 20_000
MAX_TARGETS = 100_000
MAX_BLOCKS = 10_000_000
MAX_PLANS = 1000
MAX_CALLERS = 100_000
MAX_ALLOWANCES = 20_000
MAX_DRAINS = 10_000
# Ranges of single values.
MAX_WEIGHT = 1_000_000
MIN_WEIGHT = 0.001
MAX_RATE_PER_S = 1_000_000_000
MAX_DURATION_S = 3600
#: One terabyte.
MAX_MEMORY_MB = 1_000_000
MIN_LOOKUP_LIFETIME_S = 1
MAX_LOOKUP_LIFETIME_S = 300
MAX_DEADLINE_MS = 600_000
MAX_SLOTS = 100_000
MAX_MBIT_PER_S = 100_000_000
#: Unix time in the year 2286; a time given in milliseconds exceeds it.
MAX_UNIX_S = 10_000_000_000
MAX_VERSION = 2**53
LOG_LEVELS = ('TRACE', 'DEBUG', 'INFO', 'WARNING', 'ERROR', 'CRITICAL')


def check_topology(
    topology: Topology,
    file: str = 'topology',
) -> tuple[FieldError, ...]:
    """Return the validation errors of a topology.

    :param topology: the topology.
    :param file: name of its file.
    """
    validator = Validator(file)
    sizes_valid = (
        validator.check_size('domains', topology.domains, MAX_DOMAINS),
        validator.check_size('services', topology.services, MAX_SERVICES),
        validator.check_size('instances', topology.instances, MAX_INSTANCES),
        validator.check_size('targets', topology.targets, MAX_TARGETS),
        validator.check_size('blocks', topology.blocks, MAX_BLOCKS),
    )
    if not all(sizes_valid):
        return validator.errors()
    _check_domains(validator, topology)
    for index, service in enumerate(topology.services):
        _check_service(validator, f'services[{index}]', service)
    validator.check_unique(
        'services', (each.name for each in topology.services)
    )
    _check_instances(validator, topology)
    _check_targets(validator, topology)
    _check_blocks(validator, topology)
    if topology.platform_url:
        _check_url(validator, topology.platform_url)
    return validator.errors()


def check_settings(
    cfg: Settings,
    topology: Topology | None = None,
    file: str = 'settings',
) -> tuple[FieldError, ...]:
    """Return the validation errors of the settings of one daemon.

    :param cfg: the settings.
    :param topology: the topology that they name, None if it is unreadable.
    :param file: name of its file.
    """
    validator = Validator(file)
    validator.check_instance_name('name', cfg.name)
    validator.check_address(
        '$',
        cfg.host,
        {'http_port': cfg.http_port, 'internal_port': cfg.internal_port},
    )
    if not cfg.cluster_key:
        validator.add('cluster_key', 'must not be empty')
    if not cfg.roles:
        validator.add('roles', 'must not be empty', tuple(Role))
    if Role.control in cfg.roles and not cfg.data_folder:
        validator.add('data_folder', 'is needed by a control instance')
    validator.check_range(
        'lookup_lifetime_s',
        cfg.lookup_lifetime_s,
        MIN_LOOKUP_LIFETIME_S,
        MAX_LOOKUP_LIFETIME_S,
    )
    validator.check_range('memory_mb', cfg.memory_mb, 0, MAX_MEMORY_MB)
    if not cfg.probe_path.startswith('/'):
        validator.add(
            'probe_path', f'{cfg.probe_path[:64]!r} must begin with "/"'
        )
    if cfg.logs.level not in LOG_LEVELS:
        validator.check_known('logs.level', cfg.logs.level, LOG_LEVELS)
    if cfg.statsd.host:
        validator.check_address(
            'statsd', cfg.statsd.host, {'port': cfg.statsd.port}
        )
    if topology is not None:
        _check_against_topology(validator, cfg, topology)
    return validator.errors()


def check_plans(plans: Plans, file: str = 'plans') -> tuple[FieldError, ...]:
    """Return the validation errors of the list of plans.

    :param plans: the list.
    :param file: name of its file.
    """
    validator = Validator(file)
    sizes_valid = (
        validator.check_size('plans', plans.plans, MAX_PLANS),
        validator.check_size('callers', plans.callers, MAX_CALLERS),
    )
    if not all(sizes_valid):
        return validator.errors()
    for index, plan in enumerate(plans.plans):
        validator.check_name(f'plans[{index}].name', plan.name)
        validator.check_range(
            f'plans[{index}].weight', plan.weight, MIN_WEIGHT, MAX_WEIGHT
        )
    validator.check_unique('plans', (each.name for each in plans.plans))
    plan_names = {each.name for each in plans.plans}
    for index, caller in enumerate(plans.callers):
        validator.check_name(f'callers[{index}].name', caller.name)
        validator.check_known(f'callers[{index}].plan', caller.plan, plan_names)
    validator.check_unique('callers', (each.name for each in plans.callers))
    return validator.errors()


def check_allowances(
    allowances: Allowances,
    topology: Topology,
    plans: Plans | None = None,
    file: str = 'allowances',
) -> tuple[FieldError, ...]:
    """Return the validation errors of the list of allowances.

    :param allowances: the list.
    :param topology: the topology, which lists services and kinds.
    :param plans: the list of plans; None skips the check of plan names.
    :param file: name of its file.
    """
    validator = Validator(file)
    sizes_valid = (
        validator.check_size(
            'allowances', allowances.allowances, MAX_ALLOWANCES
        ),
        validator.check_size('shift_caps', allowances.shift_caps, MAX_SERVICES),
    )
    if not all(sizes_valid):
        return validator.errors()
    services = {service.name: service for service in topology.services}
    plan_names = None if plans is None else {plan.name for plan in plans.plans}
    for index, item in enumerate(allowances.allowances):
        field = f'allowances[{index}]'
        validator.check_name(f'{field}.plan', item.plan)
        if plan_names is not None:
            validator.check_known(f'{field}.plan', item.plan, plan_names)
        validator.check_known(f'{field}.service', item.service, services)
        validator.check_range(
            f'{field}.rate_per_s', item.rate_per_s, 0, MAX_RATE_PER_S
        )
        validator.check_range(
            f'{field}.burst_s', item.burst_s, 0.001, MAX_DURATION_S
        )
        _check_kinds(validator, field, item.kinds, services.get(item.service))
        _check_min_rate(validator, field, item, topology)
    validator.check_unique(
        'allowances',
        ((each.plan, each.service) for each in allowances.allowances),
    )
    for index, cap in enumerate(allowances.shift_caps):
        field = f'shift_caps[{index}]'
        validator.check_known(f'{field}.service', cap.service, services)
        validator.check_range(f'{field}.percent', cap.percent, 0, 100)
        validator.check_range(
            f'{field}.window_s', cap.window_s, 1, MAX_DURATION_S
        )
    validator.check_unique(
        'shift_caps', (each.service for each in allowances.shift_caps)
    )
    return validator.errors()


def check_drain(
    drain: Drain,
    topology: Topology,
    file: str = 'drain',
) -> tuple[FieldError, ...]:
    """Return the validation errors of a drain.

    :param drain: the drain.
    :param topology: the topology, which lists what can be drained.
    :param file: name that the errors give for its file or request body.
    """
    validator = Validator(file)
    names_by_scope: dict[DrainScope, set[str]] = {
        DrainScope.upstream: {item.name for item in topology.targets},
        DrainScope.domain: {item.name for item in topology.domains},
        DrainScope.region: {item.region for item in topology.domains},
        DrainScope.entry: {item.name for item in topology.entry_instances()},
    }
    validator.check_known('name', drain.name, names_by_scope[drain.scope])
    validator.check_range('starts_at', drain.starts_at, 0, MAX_UNIX_S)
    return validator.errors()


def check_change(
    change: Change,
    topology: Topology,
    config: Configuration | None,
    file: str = 'body',
) -> tuple[FieldError, ...]:
    """Return the validation errors of a change.

    :param change: the change.
    :param topology: the topology.
    :param config: the configuration in force; None skips the checks that
        need it.
    :param file: name that the errors give for its file or request body.
    """
    validator = Validator(file)
    validator.check_name('change_id', change.change_id)
    validator.check_range('base_version', change.base_version, 0, MAX_VERSION)
    alternatives = (
        change.plans,
        change.allowances,
        change.drain,
        change.undrain,
    )
    if sum(item is not None for item in alternatives) != 1:
        validator.add(
            '$',
            'must set exactly one of the allowed fields',
            ('plans', 'allowances', 'drain', 'undrain'),
        )
    errors = validator.errors()
    if change.plans is not None:
        errors += check_plans(change.plans, f'{file}: plans')
    if change.allowances is not None:
        plans = None if config is None else config.plans
        errors += check_allowances(
            change.allowances, topology, plans, f'{file}: allowances'
        )
    if change.drain is not None:
        errors += check_drain(change.drain, topology, f'{file}: drain')
        if config is not None and len(config.drains) >= MAX_DRAINS:
            errors += (FieldError(file, 'drain', 'too many drains in force'),)
    return errors


def _check_domains(validator: Validator, topology: Topology) -> None:
    for index, domain in enumerate(topology.domains):
        validator.check_name(f'domains[{index}].name', domain.name)
        validator.check_name(f'domains[{index}].region', domain.region)
    validator.check_unique('domains', (each.name for each in topology.domains))
    regions = {item.region for item in topology.domains}
    for index, link in enumerate(topology.links):
        for region in link.regions:
            validator.check_known(f'links[{index}].regions', region, regions)
        if len(set(link.regions)) == 1:
            validator.add(
                f'links[{index}].regions', 'joins a region with itself'
            )
        validator.check_range(
            f'links[{index}].mbit_per_s', link.mbit_per_s, 1, MAX_MBIT_PER_S
        )
    pairs = (tuple(sorted(each.regions)) for each in topology.links)
    validator.check_unique('links', pairs)


def _check_service(validator: Validator, field: str, service: Service) -> None:
    validator.check_name(f'{field}.name', service.name)
    if not service.kinds:
        validator.add(f'{field}.kinds', 'must not be empty')
    for index, kind in enumerate(service.kinds):
        kind_field = f'{field}.kinds[{index}]'
        validator.check_name(f'{kind_field}.name', kind.name)
        validator.check_range(
            f'{kind_field}.weight', kind.weight, MIN_WEIGHT, MAX_WEIGHT
        )
        validator.check_range(
            f'{kind_field}.max_deadline_ms',
            kind.max_deadline_ms,
            1,
            MAX_DEADLINE_MS,
        )
    validator.check_unique(
        f'{field}.kinds', (each.name for each in service.kinds)
    )


def _check_instances(validator: Validator, topology: Topology) -> None:
    domains = {item.name for item in topology.domains}
    listeners: list[object] = []
    for index, item in enumerate(topology.instances):
        field = f'instances[{index}]'
        validator.check_instance_name(f'{field}.name', item.name)
        validator.check_known(f'{field}.domain', item.domain, domains)
        ports = {
            'http_port': item.http_port,
            'internal_port': item.internal_port,
        }
        validator.check_address(field, item.host, ports)
        if not item.roles:
            validator.add(f'{field}.roles', 'must not be empty', tuple(Role))
        if item.http_port == item.internal_port:
            validator.add(f'{field}.internal_port', 'is also the http_port')
        listeners.append((item.host, item.http_port))
    validator.check_unique(
        'instances', (each.name for each in topology.instances)
    )
    validator.check_unique('instances', listeners)
    if not topology.control_instances():
        validator.add('instances', 'none has the role control')


def _check_targets(validator: Validator, topology: Topology) -> None:
    domains = {item.name for item in topology.domains}
    services = {item.name for item in topology.services}
    for index, item in enumerate(topology.targets):
        field = f'targets[{index}]'
        validator.check_name(f'{field}.name', item.name)
        validator.check_known(f'{field}.service', item.service, services)
        validator.check_known(f'{field}.domain', item.domain, domains)
        validator.check_address(field, item.host, {'port': item.port})
        validator.check_range(f'{field}.slots', item.slots, 1, MAX_SLOTS)
        validator.check_range(
            f'{field}.connections', item.connections, 1, MAX_SLOTS
        )
    validator.check_unique('targets', (each.name for each in topology.targets))


def _check_blocks(validator: Validator, topology: Topology) -> None:
    domains = {item.name for item in topology.domains}
    for index, block in enumerate(topology.blocks):
        validator.check_known(f'blocks[{index}].domain', block.domain, domains)
        try:
            ipaddress.ip_network(block.network)
        except ValueError as exc:
            validator.add(f'blocks[{index}].network', str(exc))
    validator.check_unique('blocks', (each.network for each in topology.blocks))


def _check_url(validator: Validator, url: str) -> None:
    scheme, _, rest = url.partition('://')
    if scheme not in {'http', 'https'} or not rest:
        validator.add('platform_url', f'{url!r} is not an HTTP address')


def _check_kinds(
    validator: Validator,
    field: str,
    kinds: tuple[str, ...],
    service: Service | None,
) -> None:
    if service is None:
        return
    allowed = {kind.name for kind in service.kinds}
    for index, kind in enumerate(kinds):
        validator.check_known(f'{field}.kinds[{index}]', kind, allowed)
    validator.check_unique(f'{field}.kinds', kinds)


def _check_min_rate(
    validator: Validator,
    field: str,
    item: Allowance,
    topology: Topology,
) -> None:
    service = topology.service(item.service)
    entry_count = len(topology.entry_instances())
    weights = [
        kind.weight
        for kind in (service.kinds if service else ())
        if not item.kinds or kind.name in item.kinds
    ]
    if not weights or not entry_count or not item.burst_s > 0:
        return
    # Each entry instance has an equal share of the burst, which must cover the
    # heaviest request.
    min_rate_per_s = max(weights) * entry_count / item.burst_s
    if item.rate_per_s < min_rate_per_s:
        validator.add(
            f'{field}.rate_per_s',
            f'{item.rate_per_s:g} is too low: requests of weight '
            f'{max(weights):g} would always be refused; with burst_s '
            f'{item.burst_s:g} and {entry_count} entry instances the least '
            f'rate is {_round_up(min_rate_per_s)}',
        )


def _round_up(number: float) -> str:
    # Rounded down, the shown rate would be rejected as too low.
    return f'{math.ceil(number * 1000) / 1000:.12g}'


def _check_against_topology(
    validator: Validator, cfg: Settings, topology: Topology
) -> None:
    by_name = {item.name: item for item in topology.instances}
    validator.check_known('name', cfg.name, by_name)
    listed = by_name.get(cfg.name)
    if listed is None:
        return
    for field in ('domain', 'host', 'http_port', 'internal_port'):
        expected = getattr(listed, field)
        if getattr(cfg, field) != expected:
            validator.add(field, 'differs from the topology', (str(expected),))
    if set(cfg.roles) != set(listed.roles):
        validator.add('roles', 'differ from the topology', listed.roles)
