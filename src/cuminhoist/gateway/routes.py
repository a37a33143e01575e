"""Routes of callers' requests to services, with timeouts and limits."""

import enum
from collections.abc import Mapping

import msgspec

from ..listener_limits import ListenerLimits
from .hosts import canonical_path
from .workspaces import WorkspaceTable


class RepeatPolicy(enum.StrEnum):
    """Whether a request may run more than once."""

    idempotent = 'idempotent'
    once = 'once'


class WeightedService(msgspec.Struct, frozen=True):
    """One service of a route and its fraction of the requests.

    :param weight: weight, relative to the sum of all weights of the route.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """How requests below one path of one host are served.

    :param prefix: canonical prefix of the paths that belong to the route.
    :param repeat: whether its requests may run more than once.
    :param weighted_services: services that its requests are divided among.
    :param timeout_s: longest time until the final answer, in seconds.
    :param objective_s: deadline by which an answer earns all, in seconds.
    :param max_targets: most targets that one request may be sent to.
    :param allowed_regions: regions that may serve it; empty for all.
    :param priority: rank of its requests, 0 for the most urgent.
    :param allows_anonymous: whether callers need no key.
    """

    name: str
    prefix: str
    repeat: RepeatPolicy
    weighted_services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    max_targets: int = 1
    allowed_regions: frozenset[str] = frozenset()
    priority: int = 0
    allows_anonymous: bool = False


class ServiceSettings(msgspec.Struct, frozen=True):
    """Settings of a service.

    :param cold_per_s: requests a second that a target tolerates while it is
        warming up.
    """

    name: str
    cold_per_s: float = 0


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the requests of callers.

    :param max_body_bytes: longest body of a request, in bytes.
    :param listener: limits on heads and idle connections.
    """

    max_body_bytes: int = 64 * 1024 * 1024
    listener: ListenerLimits = ListenerLimits()


class RouteTable(msgspec.Struct, frozen=True):
    """All routes of one version of the configuration.

    :param version: version of the configuration.
    :param hosts: routes by canonical host name, the longest prefix first.
    :param services: settings of each service, by name.
    :param limits: limits on the requests of callers.
    :param workspaces: the workspaces; None if callers need no key.
    """

    version: int
    hosts: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceSettings]
    limits: CallerLimits = CallerLimits()
    workspaces: WorkspaceTable | None = None

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None.

        :param host: canonical name of the host.
        :param path: path of the request, without its query.
        """
        canonical = canonical_path(path)
        for route in self.hosts.get(host, ()):
            if canonical.startswith(route.prefix):
                return route
        return None
