"""Types of the settings of a daemon and of the topology it belongs to.

Each daemon has its own settings file; all daemons of a deployment have the
topology file in common.
"""

import enum
import ipaddress
import pathlib
from typing import Self, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from .exceptions import FieldError
from .types import (
    DomainName,
    InstanceName,
    KindName,
    RegionName,
    ServiceName,
    TargetName,
)

_Loaded = TypeVar('_Loaded', bound=msgspec.Struct)

MIN_PORT = 1
MAX_PORT = 65535


class Role(enum.StrEnum):
    """Role of an instance; an instance can have several."""

    entry = 'entry'
    control = 'control'


class CorruptionPolicy(enum.StrEnum):
    """What a control replica does when its files are damaged."""

    #: Takes no further part in the cluster.
    stop = 'stop'
    #: Joins the cluster again, as a new incarnation.
    rejoin = 'rejoin'


class _Strict(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base of the settings and the topology; rejects unknown fields."""


class Instance(_Strict, frozen=True):
    """An instance as the topology lists it.

    :param host: IP address of both listeners.
    :param http_port: port for callers and operators.
    :param internal_port: port for other instances.
    """

    name: InstanceName
    domain: DomainName
    host: str
    http_port: int
    internal_port: int
    roles: tuple[Role, ...] = (Role.entry,)


class FailureDomain(_Strict, frozen=True):
    """A failure domain and its region."""

    name: DomainName
    region: RegionName


class RegionLink(_Strict, frozen=True):
    """Network link between two regions.

    :param mbit_per_s: capacity in each direction, in megabits per second.
    """

    regions: tuple[RegionName, RegionName]
    mbit_per_s: float


class RequestKind(_Strict, frozen=True):
    """A request kind of a service.

    :param weight: cost of one request in fair queueing and rate limits.
    :param repeatable: whether running a request twice does no harm.
    :param max_deadline_ms: longest time that a request may take, in
        milliseconds.
    """

    name: KindName
    weight: float = 1.0
    repeatable: bool = True
    max_deadline_ms: int = 5000


class Service(_Strict, frozen=True):
    """A service and its request kinds."""

    name: ServiceName
    kinds: tuple[RequestKind, ...]

    def kind(self, name: str) -> RequestKind | None:
        """Return the request kind with this name, if there is one.

        :param name: name of the kind.
        """
        return next((kind for kind in self.kinds if kind.name == name), None)

    @property
    def longest_deadline_s(self) -> float:
        """Longest deadline of any kind, in seconds."""
        return max(kind.max_deadline_ms for kind in self.kinds) / 1000


class Target(_Strict, frozen=True):
    """One server of a service.

    :param slots: number of requests that it runs at once.
    :param connections: number of connections that it accepts.
    """

    name: TargetName
    service: ServiceName
    domain: DomainName
    host: str
    port: int
    slots: int = 3
    connections: int = 330


class AddressBlock(_Strict, frozen=True):
    """A block of client addresses and its home domain.

    :param network: the block in CIDR notation, such as ``10.1.0.0/16``.
    """

    network: str
    domain: DomainName


class Topology(_Strict, frozen=True):
    """Topology of a deployment, shared by all its instances.

    :param platform_url: HTTP address of the platform that is polled for
        targets; empty for none.
    """

    deployment: str
    domains: tuple[FailureDomain, ...]
    links: tuple[RegionLink, ...]
    services: tuple[Service, ...]
    instances: tuple[Instance, ...]
    targets: tuple[Target, ...]
    blocks: tuple[AddressBlock, ...] = ()
    platform_url: str = ''

    def region_of(self, domain: str) -> RegionName:
        """Return the region of a failure domain.

        :param domain: name of the failure domain.
        """
        return next(item.region for item in self.domains if item.name == domain)

    def instance(self, name: str) -> Instance:
        """Return the instance with this name.

        :param name: name of the instance.
        """
        return next(item for item in self.instances if item.name == name)

    def service(self, name: str) -> Service | None:
        """Return the service with this name, if there is one.

        :param name: name of the service.
        """
        return next(
            (service for service in self.services if service.name == name),
            None,
        )

    def entry_instances(self) -> tuple[Instance, ...]:
        """Return all entry instances."""
        return tuple(
            item for item in self.instances if Role.entry in item.roles
        )

    def control_instances(self) -> tuple[Instance, ...]:
        """Return all control instances."""
        return tuple(
            item for item in self.instances if Role.control in item.roles
        )

    def domain_entry_instances(self, name: str) -> tuple[Instance, ...]:
        """Return the entry instances in the failure domain of an instance.

        :param name: name of the instance; if it is an entry instance, it is
            among them.
        """
        domain = self.instance(name).domain
        return tuple(
            entry for entry in self.entry_instances() if entry.domain == domain
        )


class LogSettings(_Strict, frozen=True):
    """Level and format of the logs.

    :param json: whether to write JSON instead of text.
    """

    level: str = 'INFO'
    json: bool = False


class StatsdSettings(_Strict, frozen=True):
    """StatsD server that receives the metrics.

    :param host: its IP address; empty for no metrics.
    :param prefix: first part of each metric name.
    """

    host: str = ''
    port: int = 8125
    prefix: str = 'cuminhoist'


class Settings(_Strict, frozen=True):
    """Settings of one daemon.

    :param topology: path of the topology file, relative to this file.
    :param cluster_key: key that authenticates internal messages.
    :param data_folder: folder of the durable state; control instances only;
        relative to this file.
    :param traces_file: file for spans as JSON lines, relative to this file;
        empty for none.
    :param operator_token: token that operators' requests must carry; empty
        for none.
    :param on_corruption: what a control replica does when its files are
        damaged: ``stop`` taking part, or ``rejoin`` as a new incarnation.
    :param lookup_lifetime_s: how long clients may cache look-ups, in seconds.
    :param probe_path: HTTP path at which targets report health and load.
    :param memory_mb: memory that the process may use, in megabytes; callers
        may occupy a part of it. 0 for no limit.
    """

    name: InstanceName
    domain: DomainName
    host: str
    http_port: int
    internal_port: int
    topology: str
    cluster_key: str
    roles: tuple[Role, ...] = (Role.entry,)
    data_folder: str = ''
    traces_file: str = ''
    operator_token: str = ''
    on_corruption: CorruptionPolicy = CorruptionPolicy.stop
    lookup_lifetime_s: float = 10.0
    probe_path: str = '/load'
    memory_mb: float = 128.0
    logs: LogSettings = LogSettings()
    statsd: StatsdSettings = StatsdSettings()

    @classmethod
    def from_instance(
        cls,
        instance: Instance,
        topology_file: str,
        cluster_key: str,
        data_folder: str = '',
    ) -> Self:
        """Build settings for an instance of a topology.

        :param instance: the instance as the topology lists it.
        :param topology_file: path of the topology file.
        :param cluster_key: key that authenticates internal messages.
        :param data_folder: folder of the durable state.
        """
        return cls(
            name=instance.name,
            domain=instance.domain,
            host=instance.host,
            http_port=instance.http_port,
            internal_port=instance.internal_port,
            roles=instance.roles,
            topology=topology_file,
            cluster_key=cluster_key,
            data_folder=data_folder,
        )


def load_struct(
    path: pathlib.Path,
    struct_type: type[_Loaded],
) -> Result[_Loaded, FieldError]:
    """Read a JSON file into a typed struct.

    :param path: the file.
    :param struct_type: type of the struct.
    """
    try:
        content = path.read_bytes()
    except OSError as exc:
        return Failure(FieldError(str(path), '$', f'cannot read: {exc}'))
    try:
        return Success(msgspec.json.decode(content, type=struct_type))
    except (msgspec.DecodeError, RecursionError) as exc:
        message, _, field = str(exc).partition(' - at ')
        return Failure(FieldError(str(path), field.strip('`') or '$', message))


def is_ip(text: str) -> bool:
    """Tell whether a text is an IP address.

    :param text: the text to check.
    """
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
