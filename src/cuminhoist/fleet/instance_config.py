"""What a process knows of itself and of its surroundings at the start."""

from collections.abc import Mapping

import msgspec


class Address(msgspec.Struct, frozen=True, order=True):
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f'{self.host}:{self.port}'


class DeploymentLimits(msgspec.Struct, frozen=True):
    """Limits that the deployment sets.

    :param retry_budget_ratio: further attempts for each request of a service.
    :param retry_window_s: length of the window of the ratio, in seconds.
    :param min_retry_budget: further attempts in a window without any request.
    :param stop_grace_s: time between SIGTERM and SIGKILL, in seconds.
    :param lookup_ttl_s: longest life of a look-up answer, in seconds.
    :param max_shift_fraction: most of a region's requests that may change the
        region that serves them within two seconds.
    """

    retry_budget_ratio: float = 0.1
    retry_window_s: float = 10
    min_retry_budget: float = 10
    stop_grace_s: float = 6
    lookup_ttl_s: float = 5
    max_shift_fraction: float = 0.15


class InstanceConfig(msgspec.Struct, frozen=True):
    """One process, its place and its listeners.

    :param name: name of the instance.
    :param regions: region of each failure domain.
    :param peer_address: where other instances reach this one.
    :param peer_listen_address: where it listens for them, if that is elsewhere.
    :param seeds: where other control instances listen for instances.
    :param first_start: whether the whole deployment starts for the first
        time, with empty disks.
    :param data_folder: folder of the durable files; empty for none.
    :param request_address: listens for requests; entry instances only.
    :param readiness_address: tells the platform whether it is ready.
    :param operator_address: listens for operators; control instances only.
    :param lookup_address: tells callers where to connect.
    :param metrics_address: serves counters and histograms.
    :param target_list_address: where the list of targets is.
    :param list_calls_per_s: calls that the list takes from all instances.
    :param link_bytes_s: what its link carries, in bytes a second.
    """

    name: str
    domain: str
    region: str
    regions: Mapping[str, str]
    peer_address: Address
    seeds: tuple[Address, ...]
    first_start: bool
    data_folder: str
    request_address: Address | None
    readiness_address: Address | None
    operator_address: Address | None
    lookup_address: Address | None
    metrics_address: Address
    target_list_address: Address
    list_calls_per_s: float
    bounds: DeploymentLimits = DeploymentLimits()
    link_bytes_s: float = float('inf')
    peer_listen_address: Address | None = None

    @property
    def is_control(self) -> bool:
        """Whether this is a control instance."""
        return self.operator_address is not None
