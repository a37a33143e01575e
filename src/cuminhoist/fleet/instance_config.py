"""Settings of one instance, fixed at its start except for the seeds."""

import re
from collections.abc import Mapping
from typing import Self

import msgspec

from ..descriptor_limits import DescriptorLimits
from ..steering.allowance_sizes import AllowanceBounds


#: No sign, space or digit of another script, which ``int`` would take.
_PORT = re.compile('[0-9]{1,5}')
MAX_PORT = 65_535
_MAX_HOST_CHARS = 255


class Address(msgspec.Struct, frozen=True, order=True):
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Return the address of a text such as ``10.0.0.1:80``.

        :param text: the text.
        :raises ValueError: if the port is missing or out of range, or the
            host is too long.
        """
        host, _, port_text = text.rpartition(':')
        port = int(port_text) if _PORT.fullmatch(port_text) else 0
        if not 0 < port <= MAX_PORT:
            raise ValueError(f'invalid port in the address {text[-64:]!r}')
        if len(host) > _MAX_HOST_CHARS:
            raise ValueError('host of an address is too long')
        return cls(host, port)

    def __str__(self) -> str:
        """Return the address as ``host:port``."""
        return f'{self.host}:{self.port}'


class DeploymentLimits(msgspec.Struct, frozen=True):
    """Limits that the deployment sets.

    :param retry_budget_ratio: retries allowed for each request of a service.
    :param retry_window_s: window over which the ratio is taken, in seconds.
    :param min_retry_budget: retries allowed in a window without any request.
    :param stop_grace_s: time between SIGTERM and SIGKILL, in seconds.
    :param lookup_ttl_s: longest validity of a look-up answer, in seconds.
    :param max_shift_fraction: largest fraction of a region's requests that may
        shift to another region within two seconds.
    :param drain_s: time after which an instance that knows that a target is
        about to stop must send it no new requests, in seconds.
    :param refuses_unconfirmed_keys: whether an entry instance serves no key
        while it can't learn that keys were removed.
    :param key_trust_s: time for which such an instance serves keys without
        contact to a quorum of the control instances, in seconds.
    :param prefers_own_domain: whether a request stays in the failure domain of
        its entry instance while its answer is in time there.
    :param learns_limits: whether concurrency limits of targets are learned.
    :param tolerated_losses: control instances that may be lost at once.
    :param allowance_bounds: tolerated excess over the allowances of
        workspaces.
    """

    retry_budget_ratio: float = 0.1
    retry_window_s: float = 10
    min_retry_budget: float = 10
    stop_grace_s: float = 6
    lookup_ttl_s: float = 5
    max_shift_fraction: float = 0.15
    drain_s: float = 3
    refuses_unconfirmed_keys: bool = False
    key_trust_s: float = 5
    prefers_own_domain: bool = False
    learns_limits: bool = False
    tolerated_losses: int = 1
    allowance_bounds: AllowanceBounds = AllowanceBounds()


class InstanceConfig(msgspec.Struct, frozen=True):
    """Identity, location, listeners and limits of one instance.

    :param name: name of the instance.
    :param regions: region of each failure domain.
    :param domain: its failure domain.
    :param region: its region.
    :param peer_address: address under which other instances dial this one.
    :param peer_listen_address: address to listen on, if it is not
        ``peer_address``.
    :param seeds: peer addresses of control instances.
    :param first_start: whether the whole deployment starts for the first
        time, with empty disks.
    :param data_folder: folder of the durable files; empty for none.
    :param request_address: listener for requests; entry instances only.
    :param readiness_address: listener for readiness checks of the platform.
    :param operator_address: listener for operators; control instances only.
    :param lookup_address: listener for look-ups of callers.
    :param metrics_address: listener for metrics.
    :param target_list_address: address of the service that lists the targets.
    :param list_calls_per_s: calls a second that this service allows all
        instances together.
    :param limits: limits that the deployment sets.
    :param link_bytes_per_s: bandwidth of its network link, in bytes a second.
    :param memory_bytes: memory of its machine; 0 if it is not limited.
    :param descriptors: descriptors that its process may have open; 0 if they
        are not limited.
    :param target_source_host: IP address from which connections to targets
        are opened; empty to let the system choose.
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
    limits: DeploymentLimits = DeploymentLimits()
    link_bytes_per_s: float = float('inf')
    memory_bytes: float = 0
    descriptors: float = 0
    peer_listen_address: Address | None = None
    target_source_host: str = ''

    @property
    def descriptor_limits(self) -> DescriptorLimits:
        """Most open connections of each kind."""
        return DescriptorLimits.from_descriptors(self.descriptors)

    @property
    def is_control(self) -> bool:
        """Whether this is a control instance."""
        return self.operator_address is not None
