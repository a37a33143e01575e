"""Where the next attempt of a request goes."""

import msgspec

from .admission import Admission
from .caller_request import CheckedRequest
from .clock import Clock
from .failover_order import FailoverOrder, hash_bucket
from .grant_client import GrantClient, GrantPermit
from .membership import Membership
from .settings import Instance, Topology
from .slots import SlotSource


class LocalRoute(msgspec.Struct, frozen=True):
    """Use a target of this instance, after a wait if need be."""


class PeerRoute(msgspec.Struct, frozen=True):
    """Use a target of another instance of the failure domain.

    :param may_queue: whether the request may wait there.
    """

    peer: Instance
    may_queue: bool


class GrantRoute(msgspec.Struct, frozen=True):
    """Use a grant of another failure domain."""

    peer: Instance
    permit: GrantPermit


class NoRoute(msgspec.Struct, frozen=True):
    """Nobody takes the request now."""


Route = LocalRoute | PeerRoute | GrantRoute | NoRoute


class _Sent(msgspec.Struct):
    """Requests sent to a peer since its last heartbeat."""

    heard_at: float
    count: int = 0


class Router:
    """Chooses among own targets, cell peers and other failure domains.

    :param topology: the deployment.
    :param membership: what peers said about their slots.
    :param slots: slots of the own targets.
    :param admission: tells how many requests wait here.
    :param grants: grants of other failure domains.
    :param clock: time source.
    """

    def __init__(
        self,
        topology: Topology,
        membership: Membership,
        slots: SlotSource,
        admission: Admission,
        grants: GrantClient,
        clock: Clock,
    ) -> None:
        self._membership = membership
        self._slots = slots
        self._admission = admission
        self._grants = grants
        self._clock = clock
        self._domain = topology.instance(membership.name).domain
        self._orders = FailoverOrder(topology)
        self._instances: dict[str, Instance] = {
            entry.name: entry for entry in topology.entry_instances()
        }
        self._peers = tuple(
            entry
            for entry in topology.domain_entry_instances(membership.name)
            if entry.name != membership.name
        )
        self._sent: dict[tuple[str, str], _Sent] = {}

    def choose(
        self,
        checked: CheckedRequest,
        tried: frozenset[str],
    ) -> Route:
        """Return where to send a request.

        Own free slots come first, then free slots of a peer, which cost a
        hop inside the failure domain. Where requests wait here already,
        another failure domain is used if it granted that.

        :param checked: the request.
        :param tried: names of instances that refused it.
        """
        service = checked.service.name
        waiting = self._admission.waiting_count(service)
        usable = self._slots.usable_slots(service)
        if usable and not waiting and self._slots.free_slots(service):
            return LocalRoute()
        peer = self._freest_peer(service, tried)
        if peer is not None:
            self._count(peer.name, service)
            return PeerRoute(peer, may_queue=False)
        if waiting >= usable:
            granted = self._granted(checked, tried)
            if granted is not None:
                return granted
        return LocalRoute() if usable else self._queue_at_peer(service, tried)

    def estimate_free(self, peer: str, service: str) -> int:
        """Return how many slots of a peer are free as far as is known.

        :param peer: name of the peer.
        :param service: name of the service.
        """
        state = self._membership.last_heartbeat(peer)
        if state is None or service not in state.services:
            return 0
        sent = self._sent.get((peer, service))
        heard_at = self._membership.last_heartbeat_at(peer)
        recent = sent.count if sent and sent.heard_at == heard_at else 0
        return state.services[service].free - recent

    def _freest_peer(
        self,
        service: str,
        tried: frozenset[str],
    ) -> Instance | None:
        best: Instance | None = None
        most = 0
        for peer in self._peers:
            free = self.estimate_free(peer.name, service)
            if free > most and self._may_use(peer.name, tried):
                best = peer
                most = free
        return best

    def _queue_at_peer(self, service: str, tried: frozenset[str]) -> Route:
        for peer in self._peers:
            state = self._membership.last_heartbeat(peer.name)
            slots = state.services.get(service) if state else None
            # An instance that leaves has handed its targets over; the new
            # owner tells of their slots only with its next heartbeat.
            may_serve = self._membership.leaving or bool(slots and slots.usable)
            if may_serve and self._may_use(peer.name, tried):
                return PeerRoute(peer, may_queue=True)
        return NoRoute()

    def _granted(
        self,
        checked: CheckedRequest,
        tried: frozenset[str],
    ) -> GrantRoute | None:
        service = checked.service.name
        groups = self._orders.domains_by_distance(
            service,
            hash_bucket(checked.req.caller),
            self._domain,
        )
        for domain in (*groups[1], *groups[2]):
            use = self._grants.try_acquire(domain, service)
            if use is None:
                continue
            if self._may_use(use.instance, tried):
                return GrantRoute(self._instances[use.instance], use)
            use.release()
        return None

    def _may_use(self, name: str, tried: frozenset[str]) -> bool:
        return name not in tried and self._membership.is_entry_usable(name)

    def _count(self, peer: str, service: str) -> None:
        heard_at = self._membership.last_heartbeat_at(peer) or self._clock.now()
        sent = self._sent.get((peer, service))
        if sent is None or sent.heard_at != heard_at:
            sent = _Sent(heard_at)
            self._sent[peer, service] = sent
        sent.count += 1
