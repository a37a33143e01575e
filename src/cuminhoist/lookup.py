"""Which entry instances a caller should use."""

import abc
import functools
import hashlib
import math

import msgspec

from .blocks import BlockMap
from .clock import Clock
from .inforce import ConfigInForce
from .lists import Drain
from .settings import Instance, Topology
from .types import DomainName, DrainScope

LIFETIME_S = 10.0
#: Callers move away over this time before an announced drain starts, ten
#: windows of the default shift cap.
RAMP_S = 100.0
_HASH_BYTES = 8
#: Keeps failure domains without the service last.
_NO_SLOTS_WEIGHT = 0.001
_HASH_LIMIT = float(1 << (8 * _HASH_BYTES))

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


def hash_fraction(*parts: str) -> float:
    """Return a stable number between 0 and 1 for some names.

    :param parts: the names.
    """
    digest = hashlib.blake2b(
        '|'.join(parts).encode(),
        digest_size=_HASH_BYTES,
    ).digest()
    return (int.from_bytes(digest) + 1) / (_HASH_LIMIT + 1)


class DrainPlan:
    """Which callers have left what is being drained.

    :param in_force: the configuration in force.
    :param clock: wall-clock time for announced drains.
    """

    def __init__(self, in_force: ConfigInForce, clock: Clock) -> None:
        self._in_force = in_force
        self._clock = clock

    def moves(self, scope: DrainScope, name: str, caller: str) -> bool:
        """Tell whether a caller should leave a drained part by now.

        :param scope: kind of the part.
        :param name: name of the part.
        :param caller: name of the caller.
        """
        cfg = self._in_force.current
        if cfg is None:
            return False
        return any(
            self._share(drain) >= hash_fraction('drain', name, caller)
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
    """

    def __init__(
        self,
        topology: Topology,
        own: Instance,
        blocks: BlockMap,
        view: EntryView,
        drains: DrainPlan,
    ) -> None:
        self._topology = topology
        self._own = own
        self._blocks = blocks
        self._view = view
        self._drains = drains
        self._region: dict[str, str] = {
            entry.name: entry.region for entry in topology.domains
        }
        self._slots = _slots_by_domain(topology)
        self._entries = _entries_by_domain(topology)

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
        found: list[Instance] = []
        groups = self._domains_by_distance(home)
        for domains, most in zip(groups, _MOST_BY_DISTANCE, strict=True):
            found.extend(self._first_entries(service, caller, domains, most))
        return LookupAnswer(
            service,
            home,
            tuple(self._address(entry) for entry in found),
            LIFETIME_S,
        )

    def _domains_by_distance(self, home: str) -> tuple[list[str], ...]:
        near = [
            domain
            for domain, region in self._region.items()
            if region == self._region[home] and domain != home
        ]
        far = [
            domain
            for domain, region in self._region.items()
            if region != self._region[home]
        ]
        return [home], near, far

    def _first_entries(
        self,
        service: str,
        caller: str,
        domains: list[str],
        most: int,
    ) -> list[Instance]:
        rank = functools.partial(self._domain_rank, service, caller)
        found: list[Instance] = []
        for domain in sorted(domains, key=rank):
            usable = self._usable_entries(domain, caller)
            # One instance each, where several failure domains are as near.
            found.extend(usable if len(domains) == 1 else usable[:1])
        return found[:most]

    def _usable_entries(self, domain: str, caller: str) -> list[Instance]:
        usable = [
            entry
            for entry in self._entries.get(domain, ())
            if self._is_candidate(entry, caller)
        ]
        usable.sort(key=lambda entry: hash_fraction(caller, entry.name))
        return usable

    def _is_candidate(self, entry: Instance, caller: str) -> bool:
        if not self._view.is_usable(entry.name):
            return False
        parts = (
            (DrainScope.entry, entry.name),
            (DrainScope.domain, entry.domain),
            (DrainScope.region, self._region[entry.domain]),
        )
        return not any(
            self._drains.moves(scope, name, caller) for scope, name in parts
        )

    def _domain_rank(self, service: str, caller: str, domain: str) -> float:
        # Weighted rendezvous hashing: callers spread over equally distant
        # failure domains in proportion to the slots of the service there.
        weight = self._slots.get((domain, service), 0) or _NO_SLOTS_WEIGHT
        return -math.log(hash_fraction(service, caller, domain)) / weight

    def _address(self, entry: Instance) -> EntryAddress:
        return EntryAddress(
            entry.name,
            entry.domain,
            f'http://{entry.host}:{entry.http_port}',
            self._view.ticket_of(entry.name),
        )


def _slots_by_domain(topology: Topology) -> dict[tuple[str, str], int]:
    slots: dict[tuple[str, str], int] = {}
    for target in topology.targets:
        place = (target.domain, target.service)
        slots[place] = slots.get(place, 0) + target.slots
    return slots


def _entries_by_domain(topology: Topology) -> dict[str, list[Instance]]:
    entries: dict[str, list[Instance]] = {}
    for entry in topology.entries():
        entries.setdefault(entry.domain, []).append(entry)
    return entries
