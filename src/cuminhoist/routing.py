"""Chooses where the next attempt of a request is sent.

The order is own targets, domain peers, then other failure domains that have
granted capacity.
"""

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
    """Use a target that this instance owns; the request may wait for it."""


class PeerRoute(msgspec.Struct, frozen=True):
    """Use a target of a domain peer.

    :param peer: the peer.
    :param may_queue: whether the request may wait at the peer.
    """

    peer: Instance
    may_queue: bool


class GrantRoute(msgspec.Struct, frozen=True):
    """Use a slot that another failure domain has granted.

    :param peer: the instance that granted it.
    :param permit: the right to use the slot; to be released after use.
    """

    peer: Instance
    permit: GrantPermit


class NoRoute(msgspec.Struct, frozen=True):
    """No instance accepts the request now."""


Route = LocalRoute | PeerRoute | GrantRoute | NoRoute


class _SentCount(msgspec.Struct):
    """Number of requests sent to a peer since its last heartbeat.

    :param heartbeat_at: monotonic time of that heartbeat.
    """

    heartbeat_at: float
    count: int = 0


class Router:
    """Chooses among own targets, domain peers and other failure domains.

    :param topology: the deployment.
    :param membership: the heartbeats of peers, with their free slots.
    :param slots: slots of the own targets.
    :param admission: tells how many requests wait at this instance.
    :param grants: slots that other failure domains have granted.
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
        self._failover_order = FailoverOrder(topology)
        self._instances: dict[str, Instance] = {
            entry.name: entry for entry in topology.entry_instances()
        }
        self._peers = tuple(
            entry
            for entry in topology.domain_entry_instances(membership.name)
            if entry.name != membership.name
        )
        self._sent: dict[tuple[str, str], _SentCount] = {}

    def choose(
        self,
        checked: CheckedRequest,
        tried: frozenset[str],
    ) -> Route:
        """Return where to send a request.

        Own free slots come first, then free slots of a peer, which take one
        hop inside the failure domain. If at least as many requests wait here
        as there are usable slots, a grant of another failure domain is used.

        :param checked: the request.
        :param tried: names of instances that it was sent to before.
        """
        service = checked.service.name
        waiting = self._admission.waiting_count(service)
        usable = self._slots.usable_slots(service)
        if usable and not waiting and self._slots.free_slots(service):
            return LocalRoute()
        peer = self._freest_peer(service, tried)
        if peer is not None:
            self._count_sent(peer.name, service)
            return PeerRoute(peer, may_queue=False)
        if waiting >= usable:
            granted_route = self._try_grant(checked, tried)
            if granted_route is not None:
                return granted_route
        return LocalRoute() if usable else self._queue_at_peer(service, tried)

    def estimate_free(self, peer: str, service: str) -> int:
        """Return an estimate of a peer's free slots.

        It is the figure of the peer's last heartbeat less the requests sent
        to the peer since.

        :param peer: name of the peer.
        :param service: name of the service.
        """
        heartbeat = self._membership.last_heartbeat(peer)
        if heartbeat is None or service not in heartbeat.services:
            return 0
        sent = self._sent.get((peer, service))
        heartbeat_at = self._membership.last_heartbeat_at(peer)
        count = sent.count if sent and sent.heartbeat_at == heartbeat_at else 0
        return heartbeat.services[service].free - count

    def _freest_peer(
        self,
        service: str,
        tried: frozenset[str],
    ) -> Instance | None:
        freest: Instance | None = None
        most_free = 0
        for peer in self._peers:
            free = self.estimate_free(peer.name, service)
            if free > most_free and self._may_use(peer.name, tried):
                freest = peer
                most_free = free
        return freest

    def _queue_at_peer(self, service: str, tried: frozenset[str]) -> Route:
        for peer in self._peers:
            heartbeat = self._membership.last_heartbeat(peer.name)
            slots = heartbeat.services.get(service) if heartbeat else None
            # During its planned stop this instance has handed over its
            # targets, and the new owner reports their slots only with its
            # next heartbeat.
            may_serve = self._membership.leaving or bool(slots and slots.usable)
            if may_serve and self._may_use(peer.name, tried):
                return PeerRoute(peer, may_queue=True)
        return NoRoute()

    def _try_grant(
        self,
        checked: CheckedRequest,
        tried: frozenset[str],
    ) -> GrantRoute | None:
        service = checked.service.name
        groups = self._failover_order.domains_by_distance(
            service,
            hash_bucket(checked.req.caller),
            self._domain,
        )
        for domain in (*groups[1], *groups[2]):
            permit = self._grants.try_acquire(domain, service)
            if permit is None:
                continue
            if self._may_use(permit.instance, tried):
                return GrantRoute(self._instances[permit.instance], permit)
            permit.release()
        return None

    def _may_use(self, name: str, tried: frozenset[str]) -> bool:
        return name not in tried and self._membership.is_entry_usable(name)

    def _count_sent(self, peer: str, service: str) -> None:
        heartbeat_at = (
            self._membership.last_heartbeat_at(peer) or self._clock.now()
        )
        sent = self._sent.get((peer, service))
        if sent is None or sent.heartbeat_at != heartbeat_at:
            sent = _SentCount(heartbeat_at)
            self._sent[peer, service] = sent
        sent.count += 1
