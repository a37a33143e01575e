"""Settings of one daemon and the topology of a deployment."""

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
    """What an instance does."""

    entry = 'entry'
    control = 'control'


class CorruptionPolicy(enum.StrEnum):
    """What a replica with damaged files does."""

    stop = 'stop'
    rejoin = 'rejoin'


class _Strict(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base of all settings: unknown fields are errors."""


class Instance(_Strict, frozen=True):
    """An instance of the system as the topology lists it.

    :param host: IP number of both listeners.
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
    """Capacity shared by two regions, each way.

    :param mbit_per_s: capacity in each direction, in megabits a second.
    """

    regions: tuple[RegionName, RegionName]
    mbit_per_s: float


class RequestKind(_Strict, frozen=True):
    """A kind of request of a service.

    :param weight: cost of one request in fair queueing and rates.
    :param repeatable: whether a second run does no harm.
    :param max_deadline_ms: longest time that one request may take.
    """

    name: KindName
    weight: float = 1.0
    repeatable: bool = True
    max_deadline_ms: int = 5000


class Service(_Strict, frozen=True):
    """A service and its kinds of request."""

    name: ServiceName
    kinds: tuple[RequestKind, ...]

    def kind(self, name: str) -> RequestKind | None:
        """Return the kind with this name, if the service has it.

        :param name: name of the kind.
        """
        return next((kind for kind in self.kinds if kind.name == name), None)

    @property
    def longest_deadline_s(self) -> float:
        """Longest deadline of any kind, in seconds."""
        return max(kind.max_deadline_ms for kind in self.kinds) / 1000


class Target(_Strict, frozen=True):
    """One upstream instance of a service.

    :param slots: how many requests it runs at once.
    :param connections: how many connections it accepts.
    """

    name: TargetName
    service: ServiceName
    domain: DomainName
    host: str
    port: int
    slots: int = 3
    connections: int = 330


class AddressBlock(_Strict, frozen=True):
    """A block of client addresses and its home failure domain."""

    network: str
    domain: DomainName


class Topology(_Strict, frozen=True):
    """Everything that all instances of a deployment share."""

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
        return next(
            entry.region for entry in self.domains if entry.name == domain
        )

    def instance(self, name: str) -> Instance:
        """Return the instance with this name.

        :param name: name of the instance.
        """
        return next(entry for entry in self.instances if entry.name == name)

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
            entry for entry in self.instances if Role.entry in entry.roles
        )

    def control_instances(self) -> tuple[Instance, ...]:
        """Return all control instances."""
        return tuple(
            entry for entry in self.instances if Role.control in entry.roles
        )

    def domain_entry_instances(self, name: str) -> tuple[Instance, ...]:
        """Return the entry instances of an instance's failure domain.

        :param name: name of an instance, itself part of the answer.
        """
        domain = self.instance(name).domain
        return tuple(
            entry for entry in self.entry_instances() if entry.domain == domain
        )


class LogSettings(_Strict, frozen=True):
    """Where logs go and how they look."""

    level: str = 'INFO'
    json: bool = False


class StatsdSettings(_Strict, frozen=True):
    """Where metrics go; no host means nowhere."""

    host: str = ''
    port: int = 8125
    prefix: str = 'cuminhoist'


class Settings(_Strict, frozen=True):
    """Settings of one daemon.

    :param topology: path of the topology file, relative to this file.
    :param cluster_key: key of the tags on internal messages.
    :param data_folder: folder of the durable state; control instances only;
        relative to this file, as is ``traces_file``.
    :param traces_file: file for spans as JSON lines; empty for none.
    :param operator_token: token of operators' requests; empty for none.
    :param on_corruption: what a control replica does with damaged files:
        ``stop`` taking part, or ``rejoin`` as a new incarnation.
    :param lookup_lifetime_s: how long clients may cache look-ups, in seconds.
    :param probe_path: path of the targets' health and load report.
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
        :param cluster_key: key of the tags on internal messages.
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
    kind: type[_Loaded],
) -> Result[_Loaded, FieldError]:
    """Read a JSON file into a typed struct.

    :param path: the file.
    :param kind: type of the struct.
    """
    try:
        content = path.read_bytes()
    except OSError as exc:
        return Failure(FieldError(str(path), '$', f'cannot read: {exc}'))
    try:
        return Success(msgspec.json.decode(content, type=kind))
    except msgspec.DecodeError as exc:
        message, _, field = str(exc).partition(' - at ')
        return Failure(FieldError(str(path), field.strip('`') or '$', message))


def is_ip(text: str) -> bool:
    """Tell whether a text is an IP number.

    :param text: the text to check.
    """
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
