"""Routes: which service serves a request, and under which terms."""

import enum
from collections.abc import Mapping

import msgspec


class RepeatPolicy(enum.StrEnum):
    """Whether a request may run more than once."""

    idempotent = 'idempotent'
    once = 'once'


class WeightedService(msgspec.Struct, frozen=True):
    """One service of a route and its part of the requests.

    :param weight: part of the sum of all weights of the route.
    """

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Terms of the requests below one path of one host.

    :param prefix: begins the paths that belong to the route.
    :param timeout_s: longest time until the final answer, in seconds.
    :param objective_s: time within which an answer is of full use, in
        seconds.
    :param max_targets: most targets that one request may be sent to.
    :param allowed_regions: regions that may serve it; empty for all.
    """

    name: str
    prefix: str
    repeat: RepeatPolicy
    shares: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    max_targets: int = 1
    allowed_regions: frozenset[str] = frozenset()


class ServiceTerms(msgspec.Struct, frozen=True):
    """What the operators say of a service.

    :param cold_per_s: requests a second that a cold target tolerates.
    """

    name: str
    cold_per_s: float = 0


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send.

    :param body_bytes: longest body of a request.
    """

    body_bytes: int = 64 * 1024 * 1024


class RouteTable(msgspec.Struct, frozen=True):
    """All routes of one version of the configuration.

    :param hosts: routes of each host, the longest prefix first.
    """

    version: int
    hosts: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceTerms]
    limits: CallerLimits = CallerLimits()

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request, if there is one.

        :param host: name of the host, without a port.
        :param path: path of the request, without its query.
        """
        for route in self.hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
