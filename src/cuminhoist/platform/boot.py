"""Settings of a process as the platform writes them."""

import os
import pathlib
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from ..exceptions import FieldError
from ..fleet.instance_config import Address, DeploymentLimits, InstanceConfig

#: Variable that holds the path of the settings file.
PATH_VARIABLE = 'CUMINHOIST_BOOT'
_MS = 1000
#: Bytes a second of one Mbit/s.
_MBPS = 125_000


class _Listen(msgspec.Struct, frozen=True):
    front: str = ''
    ready: str = ''
    control: str = ''
    directory: str = ''


class _Cloud(msgspec.Struct, frozen=True):
    #: Serves the list of targets.
    address: str = ''
    rate_per_s: float = 1


class _Limits(msgspec.Struct, frozen=True):
    link_mbps: float = 0


class _Bounds(msgspec.Struct, frozen=True):
    retry_budget_ratio: float = 0.1
    retry_window_s: float = 10
    retry_slack: float = 10
    grace_s: float = 6
    ttl_max_s: float = 5
    shift_most: float = 0.15


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
    internal_ports: tuple[int, int]
    #: Not sent by the platform: where the listener for other instances is,
    #: if they reach it through something else, such as a proxy in a test.
    peers_listen: str = ''
    #: Addresses of the operators' interface, not of the instances' own.
    seeds: tuple[str, ...] = ()
    bootstrap: bool = False
    data_dir: str | None = None
    cloud: _Cloud = _Cloud()
    limits: _Limits = _Limits()
    bounds: _Bounds = _Bounds()


def settings_path() -> pathlib.Path:
    """Return the path of the settings file."""
    return pathlib.Path(os.environ[PATH_VARIABLE])


def load_site(path: pathlib.Path) -> Result[InstanceConfig, FieldError]:
    """Read the settings file of this process.

    :param path: the file.
    :returns: what the process knows, or the field that is wrong.
    """
    try:
        boot = msgspec.json.decode(path.read_bytes(), type=_Boot)
        return Success(_site(boot))
    except OSError as exc:
        return Failure(FieldError(str(path), '$', f'cannot read: {exc}'))
    except (msgspec.DecodeError, ValueError) as exc:
        return Failure(FieldError(str(path), '$', str(exc)))


def _site(boot: _Boot) -> InstanceConfig:
    first_port, last_port = boot.internal_ports
    listen = boot.listen
    return InstanceConfig(
        name=boot.node,
        domain=boot.zone,
        region=boot.region,
        regions=boot.zones,
        peer_address=Address(boot.ip, first_port),
        peer_listen_address=_optional(boot.peers_listen),
        # Ports are the same on all machines within one deployment.
        seeds=tuple(
            Address(_address(seed).host, first_port) for seed in boot.seeds
        ),
        first_start=boot.bootstrap,
        data_folder=boot.data_dir or '',
        request_address=_optional(listen.front),
        readiness_address=_optional(listen.ready),
        operator_address=_optional(listen.control),
        lookup_address=_optional(listen.directory),
        metrics_address=Address(boot.ip, last_port),
        target_list_address=_address(boot.cloud.address),
        list_calls_per_s=boot.cloud.rate_per_s,
        bounds=_bounds(boot.bounds),
        link_bytes_s=boot.limits.link_mbps * _MBPS or float('inf'),
    )


def _bounds(wire: _Bounds) -> DeploymentLimits:
    return DeploymentLimits(
        retry_budget_ratio=wire.retry_budget_ratio,
        retry_window_s=wire.retry_window_s,
        min_retry_budget=wire.retry_slack,
        stop_grace_s=wire.grace_s,
        lookup_ttl_s=wire.ttl_max_s,
        max_shift_fraction=wire.shift_most,
    )


def _address(text: Any) -> Address:
    host, _, port = str(text).rpartition(':')
    return Address(host, int(port))


def _optional(text: str) -> Address | None:
    return _address(text) if text else None
