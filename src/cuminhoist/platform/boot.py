"""Reads the settings file that the platform writes for a process."""

import os
import pathlib
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from ..descriptor_limits import MIN_DESCRIPTORS
from ..exceptions import FieldError
from ..fleet.instance_config import (
    MAX_PORT,
    Address,
    DeploymentLimits,
    InstanceConfig,
)
from ..steering.allowance_sizes import AllowanceBounds

#: Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = 'CUMINHOIST_BOOT'
_MS = 1000
#: Contract of deployments whose links and memory are scarce: bytes that wait
#: for slow callers count as memory, and answers between failure domains take
#: the room of others.
_SCARCE_LINKS = 'pressure'
#: Bytes in one megabit.
_BYTES_PER_MBIT = 125_000
_BYTES_PER_MB = 1_000_000


_Port = Annotated[int, msgspec.Meta(gt=0, le=MAX_PORT)]


class _Listen(msgspec.Struct, frozen=True):
    front: str = ''
    ready: str = ''
    control: str = ''
    directory: str = ''


class _Cloud(msgspec.Struct, frozen=True):
    #: Address that serves the list of targets.
    address: str = ''
    rate_per_s: float = 1


class _Limits(msgspec.Struct, frozen=True):
    link_mbps: float = 0
    #: Memory of the machine; 0 if it is not limited.
    memory_mb: float = 0
    #: Descriptors of one process; 0 if they are not limited.
    max_fds: float = 0


class _Bounds(msgspec.Struct, frozen=True):
    retry_budget_ratio: float = 0.1
    retry_window_s: float = 10
    retry_slack: float = 10
    grace_s: float = 6
    ttl_max_s: float = 5
    shift_most: float = 0.15
    drain_ms: float = 3000
    fail_closed: bool = False
    revoke_ms: float = 5000
    quota_window_s: float = 5
    quota_over: float = 0.1
    quota_slack: float = 20


class _FaultTolerance(msgspec.Struct, frozen=True):
    #: Machines with a disk that may be lost at once.
    machines: int = 1


class _Boot(msgspec.Struct, frozen=True):
    #: Name of the machine; at most two processes share one.
    node: str
    ip: str
    #: The failure domain.
    zone: str
    region: str
    zones: dict[str, str]
    listen: _Listen
    #: First and last port that are free for traffic between instances.
    internal_ports: tuple[_Port, _Port]
    #: Listen address for other instances if they connect through another
    #: address, such as that of a proxy in a test. The platform does not
    #: set it.
    peers_listen: str = ''
    #: Address from which connections to targets are opened, such as in a test
    #: that cuts one instance off. The platform does not set it.
    targets_source: str = ''
    #: Addresses of the operators' interface; the internal port differs.
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    data_dir: str | None = None
    cloud: _Cloud = _Cloud()
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()
    fault_tolerance: _FaultTolerance = _FaultTolerance()
    #: Whether concurrency limits of targets are learned. The platform does not
    #: set it: limits below the slots cost answers where targets have no knee.
    learn_limits: bool = False
    #: Names of the parts of the platform's rules that are in force.
    contracts: tuple[str, ...] = ()


def settings_path() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ[SETTINGS_PATH_VARIABLE])


def load_settings(path: pathlib.Path) -> Result[InstanceConfig, FieldError]:
    """Read the settings file of this process.

    :param path: path of the file.
    :returns: the configuration of the instance, or the invalid field.
    """
    try:
        boot = msgspec.json.decode(path.read_bytes(), type=_Boot)
        return Success(_instance_config(boot))
    except OSError as exc:
        return Failure(FieldError(str(path), '$', f'cannot read: {exc}'))
    except (ValueError, RecursionError) as exc:
        # The decoding errors of msgspec are subclasses of ValueError.
        return Failure(FieldError(str(path), '$', str(exc)))


def _instance_config(boot: _Boot) -> InstanceConfig:
    first_port, last_port = boot.internal_ports
    if 0 < boot.limits.max_fds < MIN_DESCRIPTORS:
        raise ValueError(f'max_fds must be at least {MIN_DESCRIPTORS}')
    listen = boot.listen
    return InstanceConfig(
        name=boot.node,
        domain=boot.zone,
        region=boot.region,
        regions=boot.zones,
        peer_address=Address(boot.ip, first_port),
        peer_listen_address=_optional_address(boot.peers_listen),
        target_source_host=boot.targets_source,
        # All machines of a deployment use the same internal ports.
        seeds=tuple(
            Address(Address.parse(seed).host, first_port) for seed in boot.seeds
        ),
        first_start=boot.bootstrap,
        data_folder=boot.data_dir or '',
        request_address=_optional_address(listen.front),
        readiness_address=_optional_address(listen.ready),
        operator_address=_optional_address(listen.control),
        lookup_address=_optional_address(listen.directory),
        metrics_address=Address(boot.ip, last_port),
        target_list_address=Address.parse(boot.cloud.address),
        list_calls_per_s=boot.cloud.rate_per_s,
        limits=_deployment_limits(boot),
        link_bytes_per_s=boot.limits.link_mbps * _BYTES_PER_MBIT
        or float('inf'),
        memory_bytes=boot.limits.memory_mb * _BYTES_PER_MB,
        descriptors=boot.limits.max_fds,
    )


def _deployment_limits(boot: _Boot) -> DeploymentLimits:
    wire = boot.bounds
    return DeploymentLimits(
        retry_budget_ratio=wire.retry_budget_ratio,
        retry_window_s=wire.retry_window_s,
        min_retry_budget=wire.retry_slack,
        stop_grace_s=wire.grace_s,
        lookup_ttl_s=wire.ttl_max_s,
        max_shift_fraction=wire.shift_most,
        drain_s=wire.drain_ms / _MS,
        refuses_unconfirmed_keys=wire.fail_closed,
        key_trust_s=wire.revoke_ms / _MS,
        prefers_own_domain=_SCARCE_LINKS in boot.contracts,
        learns_limits=boot.learn_limits,
        tolerated_losses=boot.fault_tolerance.machines,
        allowance_bounds=AllowanceBounds(
            wire.quota_window_s, wire.quota_over, wire.quota_slack
        ),
    )


def _optional_address(text: str) -> Address | None:
    return Address.parse(text) if text else None
