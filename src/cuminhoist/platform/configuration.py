"""Decodes the operators' configuration, in the platform's format."""

import math
import re
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from ..gateway.hosts import (
    canonical_host,
    canonical_path,
    encode_international_host,
)
from ..gateway.routes import (
    CallerLimits,
    RepeatPolicy,
    Route,
    RouteTable,
    ServiceSettings,
    WeightedService,
)
from ..gateway.workspaces import Workspace, WorkspaceTable
from ..listener_limits import ListenerLimits
from .json_split import nesting_depth

_MS = 1000
#: An objective this far above the timeout of its route is refused as a
#: mistake.
_MAX_OBJECTIVE_EXCESS_MS = 60_000

#: Highest version; messages between instances hold integers of 64 bits.
MAX_VERSION = 2**64 - 1
#: Largest amount of any other number; its sums and products stay finite.
MAX_NUMBER = 2**53
#: Deepest nesting of lists and objects. A decoder takes some hundreds, the
#: fewer the deeper it is called itself.
MAX_NESTING = 100
_VERSION = re.compile('r[0-9]{1,20}')
_MAX_SHOWN_CHARS = 64
_MAX_FAULT_CHARS = 300

_REPEAT_BY_ROUTE_TYPE = {
    'safe': RepeatPolicy.idempotent,
    # Large answers; such requests may be retried like other reads.
    'download': RepeatPolicy.idempotent,
    'unsafe': RepeatPolicy.once,
}

_Name = Annotated[str, msgspec.Meta(min_length=1)]


class _Service(msgspec.Struct, frozen=True):
    name: _Name
    cold_per_s: float = 0


class _Limits(msgspec.Struct, frozen=True):
    """Limits on callers; one that is missing or not positive is not set."""

    max_header_bytes: float | None = None
    max_body_bytes: float | None = None
    header_timeout_ms: float | None = None
    idle_timeout_ms: float | None = None


class _Split(msgspec.Struct, frozen=True):
    #: Name of a service, not of a target.
    backend: _Name
    weight: float


class _Path(msgspec.Struct, frozen=True):
    name: str
    path_prefix: str
    type: str
    timeout_ms: float
    #: Objective of the route; the timeout if it is not given.
    aim_ms: float | None = None
    #: Name of a service; ignored if there is a traffic split.
    backend: str | None = None
    traffic_split: tuple[_Split, ...] = ()
    max_attempts: int = 1
    allowed_regions: tuple[str, ...] | None = ()
    #: 0 is the most urgent.
    priority: int = 0
    allow_anonymous: bool = False


class _Host(msgspec.Struct, frozen=True):
    hostname: _Name
    paths: tuple[_Path, ...]


class _Tenant(msgspec.Struct, frozen=True):
    """A workspace; a rate that is missing or 0 is no limit."""

    name: _Name
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None
    allowed_regions: tuple[str, ...] | None = ()


class _Configuration(msgspec.Struct, frozen=True):
    version: str
    services: tuple[_Service, ...]
    hosts: tuple[_Host, ...]
    limits: _Limits | None = None
    tenants: tuple[_Tenant, ...] | None = None


def decode_routes(body: bytes) -> Result[RouteTable, str]:
    """Return the routes of a configuration, or the validation error.

    :param body: the configuration as an operator sent it.
    """
    try:
        wire = msgspec.json.decode(body, type=_Configuration)
        return Success(_route_table(wire))
    except (ValueError, RecursionError) as exc:
        # The decoding errors of msgspec are subclasses of ValueError.
        return Failure(str(exc)[:_MAX_FAULT_CHARS])


def check_order(body: bytes) -> Result[RouteTable, str]:
    """Return the routes of a configuration that an operator orders.

    What other instances may not be able to decode or pass on is refused. A
    configuration in force is not checked again: an instance with an older
    version may have accepted it.

    :param body: the configuration as the operator sent it.
    """
    if nesting_depth(body) > MAX_NESTING:
        return Failure(f'nested more than {MAX_NESTING} levels deep')
    decoded = decode_routes(body)
    if not isinstance(decoded, Success):
        return decoded
    fault = _version_fault(body) or _range_fault(decoded.unwrap())
    return Failure(fault) if fault else decoded


class _Version(msgspec.Struct, frozen=True):
    version: str


def _version_fault(body: bytes) -> str:
    text = msgspec.json.decode(body, type=_Version).version
    if _VERSION.fullmatch(text) and int(text[1:]) <= MAX_VERSION:
        return ''
    return (
        f'version {text[:_MAX_SHOWN_CHARS]!r} is not r and a number of '
        f'at most {MAX_VERSION}'
    )


def _range_fault(table: RouteTable) -> str:
    """Return which route has a number that cannot be used, if any."""
    for routes in table.hosts.values():
        for route in routes:
            numbers = (
                route.priority,
                route.max_targets,
                route.timeout_s,
                route.objective_s,
                *(one.weight for one in route.weighted_services),
            )
            if any(abs(number) > MAX_NUMBER for number in numbers):
                name = route.name[:_MAX_SHOWN_CHARS]
                return f'route {name!r} has a number out of range'
    return ''


def _route_table(wire: _Configuration) -> RouteTable:
    services = {
        entry.name: ServiceSettings(
            entry.name,
            entry.cold_per_s,
        )
        for entry in wire.services
    }
    hosts: dict[str, tuple[Route, ...]] = {}
    for host in wire.hosts:
        routes = [_route(entry, services) for entry in host.paths]
        name = canonical_host(encode_international_host(host.hostname))
        if not name:
            raise ValueError(f'host name {host.hostname!r} is empty')
        host_routes = (*hosts.get(name, ()), *routes)
        hosts[name] = tuple(
            sorted(host_routes, key=_prefix_length, reverse=True),
        )
    return RouteTable(
        version=_parse_version(wire.version),
        hosts=hosts,
        services=services,
        limits=_caller_limits(wire.limits or _Limits()),
        workspaces=_workspaces(wire.tenants),
    )


def _workspaces(
    wire: tuple[_Tenant, ...] | None,
) -> WorkspaceTable | None:
    if wire is None:
        return None
    return WorkspaceTable.from_keys(
        (_workspace(entry), entry.api_keys) for entry in wire
    )


def _workspace(wire: _Tenant) -> Workspace:
    return Workspace(
        name=wire.name,
        priority=wire.priority,
        rate_per_s=_positive_or(wire.rate_per_s, math.inf),
        burst=max(wire.burst or 0, 0),
        allowed_regions=frozenset(wire.allowed_regions or ()),
    )


def _caller_limits(wire: _Limits) -> CallerLimits:
    default = CallerLimits()
    listener = default.listener
    return CallerLimits(
        math.ceil(_positive_or(wire.max_body_bytes, default.max_body_bytes)),
        ListenerLimits(
            math.ceil(
                _positive_or(wire.max_header_bytes, listener.max_head_bytes)
            ),
            _positive_or(wire.header_timeout_ms, listener.head_timeout_s * _MS)
            / _MS,
            _positive_or(wire.idle_timeout_ms, listener.idle_timeout_s * _MS)
            / _MS,
        ),
    )


def _positive_or(limit: float | None, default: float) -> float:
    return default if limit is None or limit <= 0 else limit


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def _parse_version(text: str) -> int:
    if not text.startswith('r'):
        raise ValueError(
            f'version {text[:_MAX_SHOWN_CHARS]!r} does not begin with r'
        )
    try:
        return int(text[1:])
    except ValueError:
        shown = text[:_MAX_SHOWN_CHARS]
        raise ValueError(f'version {shown!r} is no number') from None


def _route(wire: _Path, services: dict[str, ServiceSettings]) -> Route:
    weighted_services = tuple(
        WeightedService(split.backend, split.weight)
        for split in wire.traffic_split
    )
    if not weighted_services:
        weighted_services = (WeightedService(wire.backend or '', 1),)
    for weighted in weighted_services:
        if weighted.service not in services:
            raise ValueError(
                f'route {wire.name!r} refers to the unknown service '
                f'{weighted.service!r}',
            )
    return Route(
        name=wire.name,
        prefix=canonical_path(wire.path_prefix),
        repeat=_repeat_policy(wire),
        weighted_services=weighted_services,
        timeout_s=wire.timeout_ms / _MS,
        objective_s=_objective_ms(wire) / _MS,
        max_targets=max(wire.max_attempts, 1),
        allowed_regions=frozenset(wire.allowed_regions or ()),
        priority=wire.priority,
        allows_anonymous=wire.allow_anonymous,
    )


def _repeat_policy(wire: _Path) -> RepeatPolicy:
    repeat = _REPEAT_BY_ROUTE_TYPE.get(wire.type)
    if repeat is None:
        raise ValueError(f'route {wire.name!r} has unknown type {wire.type!r}')
    return repeat


def _objective_ms(wire: _Path) -> float:
    objective_ms = wire.timeout_ms if wire.aim_ms is None else wire.aim_ms
    if objective_ms >= wire.timeout_ms + _MAX_OBJECTIVE_EXCESS_MS:
        raise ValueError(
            f'route {wire.name!r} has an objective a minute or more above '
            'its timeout',
        )
    return objective_ms
