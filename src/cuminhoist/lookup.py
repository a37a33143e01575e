"""Which entry instances a caller should use."""

import abc
import itertools

import msgspec

from .blocks import BlockMap
from .clock import Clock
from .config_in_force import ConfigInForce
from .config_model import Drain
from .failover_order import FailoverOrder, hash_bucket, hash_fraction
from .settings import Instance, Topology
from .types import DomainName, DrainScope

LIFETIME_S = 10.0
#: Callers move away over this time before an announced drain starts, ten
#: windows of the default shift cap.
RAMP_S = 100.0

#: Entry instances in an answer by distance: the home failure domain, the
#: rest of its region, other regions. Clients that cache the answer keep an
#: alternative when a whole failure domain or region is lost.
_MOST_BY_DISTANCE = (3, 2, 3)


class EntryAddress(msgspec.Struct, frozen=True):
    """An entry instance in a look-up answer.

    :param ticket: starts the idempotency keys of requests to it; empty if
        its ticket is not known here.
    """

    name: str
    domain: str
    address: str
    ticket: str


class LookupAnswer(msgspec.Struct, frozen=True):
    """Entry instances in the order in which to try them.

    :param home: home failure domain of the client.
    :param lifetime_s: how long clients may cache the answer, in seconds.
    """

    service: str
    home: str
    entries: tuple[EntryAddress, ...]
    lifetime_s: float


class EntryView(abc.ABC):
    """What this instance knows of the entry instances."""

    @abc.abstractmethod
    def is_usable(self, name: str) -> bool:
        """Tell whether an instance is live and not leaving.

        :param name: name of the instance.
        """

    @abc.abstractmethod
    def ticket_of(self, name: str) -> str:
        """Return the key ticket of an instance, empty if unknown.

        :param name: name of the instance.
        """


class DrainPlan:
    """Which callers have left what is being drained.

    :param in_force: the configuration in force.
    :param clock: wall-clock time for announced drains.
    """

    def __init__(self, in_force: ConfigInForce, clock: Clock) -> None:
        self._in_force = in_force
        self._clock = clock

    def moves(self, scope: DrainScope, name: str, bucket: int) -> bool:
        """Tell whether a caller should leave a drained part by now.

        :param scope: kind of the part.
        :param name: name of the part.
        :param bucket: bucket of the caller.
        """
        cfg = self._in_force.current
        if cfg is None or not cfg.drains:
            return False
        return any(
            self._share(drain) >= hash_fraction('drain', name, str(bucket))
            for drain in cfg.drains
            if drain.scope == scope and drain.name == name
        )

    def _share(self, drain: Drain) -> float:
        if not drain.starts_at:
            return 1
        left_s = drain.starts_at - self._clock.wall()
        return min(max(1 - left_s / RAMP_S, 0), 1)


class Lookup:
    """Orders the entry instances for callers.

    :param topology: the deployment.
    :param own: this instance.
    :param blocks: home failure domains of clients.
    :param view: live entry instances and their tickets.
    :param drains: which callers leave drained parts.
    :param lifetime_s: how long clients may cache answers, in seconds.
    """

    def __init__(
        self,
        topology: Topology,
        own: Instance,
        blocks: BlockMap,
        view: EntryView,
        drains: DrainPlan,
        lifetime_s: float = LIFETIME_S,
    ) -> None:
        self._topology = topology
        self._own = own
        self._blocks = blocks
        self._view = view
        self._drains = drains
        self._lifetime_s = lifetime_s
        self._region: dict[str, str] = {
            entry.name: entry.region for entry in topology.domains
        }
        self._orders = FailoverOrder(topology)

    def home_of(self, client: str) -> DomainName:
        """Return the home of a client, this domain if it is unknown.

        :param client: IP number of the client; may be empty.
        """
        return self._blocks.find(client) or self._own.domain

    def find(self, service: str, caller: str, client: str) -> LookupAnswer:
        """Return the entry instances for a caller of a service.

        :param service: name of the service.
        :param caller: name of the caller.
        :param client: IP number of the client; may be empty.
        """
        home = self.home_of(client)
        bucket = hash_bucket(caller)
        groups = self._orders.domains_by_distance(service, bucket, home)
        found: list[Instance] = []
        for domains, most in zip(groups, _MOST_BY_DISTANCE, strict=True):
            found.extend(self._first_entries(bucket, domains, most))
        return LookupAnswer(
            service,
            home,
            tuple(self._address(entry) for entry in found),
            self._lifetime_s,
        )

    def _first_entries(
        self,
        bucket: int,
        domains: tuple[str, ...],
        most: int,
    ) -> list[Instance]:
        # One instance each, where several failure domains are as near.
        most_each = most if len(domains) == 1 else 1
        found: list[Instance] = []
        for domain in domains:
            if len(found) < most:
                found.extend(self._usable_entries(bucket, domain, most_each))
        return found[:most]

    def _usable_entries(
        self,
        bucket: int,
        domain: str,
        most: int,
    ) -> list[Instance]:
        first = self._orders.preferred_entries(bucket, domain)
        found = self._usable(bucket, first, most)
        if found:
            return found
        return self._usable(
            bucket,
            self._orders.all_entries(bucket, domain),
            most,
        )

    def _usable(
        self,
        bucket: int,
        entries: list[Instance],
        most: int,
    ) -> list[Instance]:
        usable = (
            entry for entry in entries if self._is_candidate(entry, bucket)
        )
        return list(itertools.islice(usable, most))

    def _is_candidate(self, entry: Instance, bucket: int) -> bool:
        if not self._view.is_usable(entry.name):
            return False
        parts = (
            (DrainScope.entry, entry.name),
            (DrainScope.domain, entry.domain),
            (DrainScope.region, self._region[entry.domain]),
        )
        return not any(
            self._drains.moves(scope, name, bucket) for scope, name in parts
        )

    def _address(self, entry: Instance) -> EntryAddress:
        return EntryAddress(
            entry.name,
            entry.domain,
            f'http://{entry.host}:{entry.http_port}',
            self._view.ticket_of(entry.name),
        )
