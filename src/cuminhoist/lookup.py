"""Answers look-ups: the entry instances that a caller should use, in order.

An answer names instances of the client's home domain, of the rest of its
region and of other regions. Instances that are silent, leaving or drained
are left out. Callers shift away from an announced drain little by little,
so that the remaining instances do not receive all of them at once.
"""

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

ANSWER_LIFETIME_S = 10.0
#: Time before the start of an announced drain over which callers shift away
#: from it: ten windows of the default shift cap.
DRAIN_RAMP_S = 100.0

#: Entry instances in an answer from the home domain, from the rest of its
#: region and from other regions. A client with a cached answer has another
#: instance to use when a whole failure domain or region fails.
_MAX_ENTRIES_BY_DISTANCE = (3, 2, 3)


class EntryAddress(msgspec.Struct, frozen=True):
    """An entry instance in a look-up answer.

    :param ticket: prefix of idempotency keys whose key home it is; empty if
        unknown here.
    """

    name: str
    domain: str
    address: str
    ticket: str


class LookupAnswer(msgspec.Struct, frozen=True):
    """Entry instances in the order in which to try them.

    :param home: home domain of the client.
    :param lifetime_s: how long clients may cache the answer, in seconds.
    """

    service: str
    home: str
    entries: tuple[EntryAddress, ...]
    lifetime_s: float


class EntryView(abc.ABC):
    """State of the entry instances as known to this instance."""

    @abc.abstractmethod
    def is_usable(self, name: str) -> bool:
        """Tell whether an instance is live and not leaving.

        :param name: name of the instance.
        """

    @abc.abstractmethod
    def ticket_of(self, name: str) -> str:
        """Return the ticket for keys of an instance, empty if unknown.

        :param name: name of the instance.
        """


class DrainPlan:
    """Decides which callers avoid a drained instance, domain or region.

    :param in_force: the configuration in force.
    :param clock: wall-clock time for announced drains.
    """

    def __init__(self, in_force: ConfigInForce, clock: Clock) -> None:
        self._in_force = in_force
        self._clock = clock

    def should_avoid(self, scope: DrainScope, name: str, bucket: int) -> bool:
        """Tell whether a caller should avoid a drain by now.

        :param scope: scope of the drain: an instance, domain or region.
        :param name: name of the instance, domain or region.
        :param bucket: hash bucket of the caller.
        """
        cfg = self._in_force.current
        if cfg is None or not cfg.drains:
            return False
        return any(
            self._shifted_fraction(drain)
            >= hash_fraction('drain', name, str(bucket))
            for drain in cfg.drains
            if drain.scope == scope and drain.name == name
        )

    def _shifted_fraction(self, drain: Drain) -> float:
        if not drain.starts_at:
            return 1
        left_s = drain.starts_at - self._clock.wall()
        return min(max(1 - left_s / DRAIN_RAMP_S, 0), 1)


class Lookup:
    """Answers look-ups of callers.

    :param topology: the deployment.
    :param own: this instance.
    :param blocks: home domains of clients.
    :param view: live entry instances and their tickets.
    :param drains: decides which callers avoid what is drained.
    :param lifetime_s: how long clients may cache answers, in seconds.
    """

    def __init__(
        self,
        topology: Topology,
        own: Instance,
        blocks: BlockMap,
        view: EntryView,
        drains: DrainPlan,
        lifetime_s: float = ANSWER_LIFETIME_S,
    ) -> None:
        self._topology = topology
        self._own = own
        self._blocks = blocks
        self._view = view
        self._drains = drains
        self._lifetime_s = lifetime_s
        self._region_by_domain: dict[str, str] = {
            entry.name: entry.region for entry in topology.domains
        }
        self._failover_order = FailoverOrder(topology)

    def home_of(self, client_ip: str) -> DomainName:
        """Return the home domain of a client; this domain if unknown.

        :param client_ip: IP address of the client; may be empty.
        """
        return self._blocks.find(client_ip) or self._own.domain

    def find(self, service: str, caller: str, client_ip: str) -> LookupAnswer:
        """Return the entry instances for a caller of a service.

        :param service: name of the service.
        :param caller: name of the caller.
        :param client_ip: IP address of the client; may be empty.
        """
        home = self.home_of(client_ip)
        bucket = hash_bucket(caller)
        domain_groups = self._failover_order.domains_by_distance(
            service, bucket, home
        )
        entries: list[Instance] = []
        for domains, max_count in zip(
            domain_groups, _MAX_ENTRIES_BY_DISTANCE, strict=True
        ):
            entries.extend(
                self._entries_at_distance(bucket, domains, max_count)
            )
        return LookupAnswer(
            service,
            home,
            tuple(self._address(entry) for entry in entries),
            self._lifetime_s,
        )

    def _entries_at_distance(
        self,
        bucket: int,
        domains: tuple[str, ...],
        max_count: int,
    ) -> list[Instance]:
        # If several domains are at this distance, one instance of each.
        max_per_domain = max_count if len(domains) == 1 else 1
        entries: list[Instance] = []
        for domain in domains:
            if len(entries) < max_count:
                entries.extend(
                    self._entries_of_domain(bucket, domain, max_per_domain)
                )
        return entries[:max_count]

    def _entries_of_domain(
        self,
        bucket: int,
        domain: str,
        max_count: int,
    ) -> list[Instance]:
        preferred = self._failover_order.preferred_entries(bucket, domain)
        entries = self._take_usable(bucket, preferred, max_count)
        if entries:
            return entries
        return self._take_usable(
            bucket,
            self._failover_order.all_entries(bucket, domain),
            max_count,
        )

    def _take_usable(
        self,
        bucket: int,
        candidates: list[Instance],
        max_count: int,
    ) -> list[Instance]:
        usable = (
            entry for entry in candidates if self._is_eligible(entry, bucket)
        )
        return list(itertools.islice(usable, max_count))

    def _is_eligible(self, entry: Instance, bucket: int) -> bool:
        if not self._view.is_usable(entry.name):
            return False
        scoped_names = (
            (DrainScope.entry, entry.name),
            (DrainScope.domain, entry.domain),
            (DrainScope.region, self._region_by_domain[entry.domain]),
        )
        return not any(
            self._drains.should_avoid(scope, name, bucket)
            for scope, name in scoped_names
        )

    def _address(self, entry: Instance) -> EntryAddress:
        return EntryAddress(
            entry.name,
            entry.domain,
            f'http://{entry.host}:{entry.http_port}',
            self._view.ticket_of(entry.name),
        )
