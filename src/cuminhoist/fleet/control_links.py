"""Links of a control instance and the fleet state collected from them.

Every control instance keeps a link to every other control instance and sends
a heartbeat on each of them every 0.5 s. Membership, quorum and demand are
derived from the heartbeats that are still valid.
"""

import asyncio
from collections.abc import Callable

import msgspec
from returns.result import Success

from ..codec import Codec, Message
from ..logging_setup import logger
from ..register.replica import ControlPeers
from ..steering.demand import Demand
from .fleet_view import FleetView
from .instance_config import Address, InstanceConfig
from .link import Link, LinkHandler, Links
from .link_meter import LinkMeter
from .messages import (
    ControlHeartbeat,
    Hello,
    LinkedInstances,
    ReadinessNotice,
)
from .peer import Peer

#: Interval between heartbeats to control instances, and between views to entry
#: instances, in seconds.
HEARTBEAT_INTERVAL_S = 0.5
#: The proposer is active if its last heartbeat is at most this old, in seconds:
#: one heartbeat may be late.
PROPOSER_HEARTBEAT_VALID_S = 1.1
#: A voter that was silent for this long is forgotten, in seconds; it counts as
#: silent since the start of this instance.
VOTER_KEPT_S = 60.0
#: Interval between checks for missing links, and pause after a successful dial
#: before the address is dialled again, in seconds.
REDIAL_DELAY_S = 0.3

_log = logger('fleet')


class ControlLinks(LinkHandler, ControlPeers):
    """All links of one control instance.

    :param config: configuration of this instance.
    :param hello: first message on each link.
    :param now: returns monotonic time in seconds.
    :param meter: counts the sent bytes.
    """

    def __init__(
        self,
        config: InstanceConfig,
        hello: Hello,
        now: Callable[[], float],
        meter: LinkMeter | None = None,
    ) -> None:
        self.peers: dict[str, Peer] = {}
        self.fleet = FleetView(hello, self.peers, now)
        self.on_message: Callable[[Peer, Message], None] = _ignore_message
        self.on_peer_linked: Callable[[Peer], None] = _ignore_peer
        self.on_peer_lost: Callable[[Peer], None] = _ignore_peer
        self.on_call: Callable[[Message], object] | None = None
        self._config = config
        self._hello = hello
        self._now = now
        #: Monotonic time of the last heartbeat of each voter, in seconds. It
        #: outlives the link, which may be reset while the voter runs.
        self._heard_at: dict[str, float] = {}
        self._created_at = now()
        self._links = Links(
            Codec('', config.name),
            self,
            meter,
            config.descriptor_limits.unknown_links,
        )
        self._seeds: set[Address] = set(config.seeds)
        self._addresses: set[Address] = set(config.seeds)
        self._dial_tasks: dict[Address, asyncio.Task[None]] = {}
        self._dialled_link_ids: set[int] = set()

    async def start(self) -> None:
        """Accept links from other instances."""
        await self._links.listen(
            self._config.peer_listen_address or self._config.peer_address,
        )

    def add_addresses(self, addresses: set[Address]) -> None:
        """Add control instances to which links are kept.

        :param addresses: their peer addresses.
        """
        self._addresses |= addresses

    def replace_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Replace the seeds after a reload of the settings.

        :param seeds: peer addresses of control instances.
        """
        self._seeds = set(seeds)

    async def run_dialling(self) -> None:
        """Dial known control instances that have no link, until cancelled."""
        while True:
            linked_addresses = {
                peer.hello.address
                for peer in self.peers.values()
                if peer.hello.control
            }
            wanted_addresses = (
                self._addresses | self._seeds
            ) - linked_addresses
            for address in wanted_addresses - {self._config.peer_address}:
                task = self._dial_tasks.get(address)
                if task is None or task.done():
                    self._dial_tasks[address] = asyncio.create_task(
                        self._dial(address),
                    )
            await asyncio.sleep(REDIAL_DELAY_S)

    def link_opened(self, link: Link) -> None:
        """Send this instance's hello on a new link.

        :param link: the link.
        """
        link.send(
            msgspec.structs.replace(self._hello, round_trip_s=link.round_trip_s)
        )

    def message_received(self, link: Link, msg: Message) -> None:
        """Process a message.

        :param link: link that received it.
        :param msg: the message.
        """
        if isinstance(msg, Hello):
            self._accept_hello(link, msg)
            return
        peer = link.peer
        if not isinstance(peer, Peer):
            return
        if isinstance(msg, ReadinessNotice):
            if peer.ready != msg.ready:
                peer.ready = msg.ready
                self.fleet.invalidate()
        elif isinstance(msg, ControlHeartbeat):
            peer.heartbeat = msg
            peer.heartbeat_at = self._now()
            self._record_voter(msg.voter)
        elif isinstance(msg, LinkedInstances):
            self.fleet.apply(peer, msg)
            self._addresses |= {endpoint.address for endpoint in msg.controls}
        self.on_message(peer, msg)

    async def call_received(self, link: Link, msg: Message) -> Message | None:
        """Return the reply to a call, or nothing if there is none.

        :param link: link that received it.
        :param msg: the request.
        """
        if self.on_call is None:
            return None
        return await self.on_call(msg)  # type: ignore[misc, no-any-return]

    def link_closed(self, link: Link) -> None:
        """Remove the peer of a closed link, unless it has a newer link.

        :param link: the link.
        """
        peer = link.peer
        if isinstance(peer, Peer) and self.peers.get(peer.hello.name) is peer:
            self.peers.pop(peer.hello.name)
            self.fleet.invalidate()
            _log.bind(peer=peer.hello.name).info('peer lost')
            self.on_peer_lost(peer)

    async def call(
        self,
        address: Address,
        msg: Message,
        timeout_s: float,
    ) -> Message | None:
        """Return the reply of a control instance.

        Returns nothing if there is no link to it or the call fails.

        :param address: its peer address.
        :param msg: the request.
        :param timeout_s: longest time to wait, in seconds.
        """
        for peer in self.peers.values():
            if peer.hello.address == address:
                answer = await peer.link.call(msg, timeout_s)
                return answer.unwrap() if isinstance(answer, Success) else None
        return None

    def broadcast(self, msg: Message) -> None:
        """Send a message to all linked control instances.

        :param msg: the message.
        """
        self.send_to_links(self.links_to_controls(), msg)

    def send_to(self, address: Address, msg: Message) -> None:
        """Send a message to one linked control instance.

        :param address: where it listens.
        :param msg: the message.
        """
        for peer in self.peers.values():
            if peer.hello.address == address:
                peer.link.send(msg)

    def links_to_controls(self) -> list[Link]:
        """Return the links to all linked control instances."""
        return [peer.link for peer in self.peers.values() if peer.hello.control]

    def send_to_links(self, links: list[Link], msg: Message) -> None:
        """Send a message on several links.

        :param links: the links.
        :param msg: the message.
        """
        if links:
            self._links.send_to_all(links, msg)

    def send_to_subscribers(self, msg: Message) -> None:
        """Send a message to the entry instances that subscribed here.

        :param msg: the message.
        """
        self.send_to_links(
            [peer.link for peer in self.peers.values() if peer.subscribed],
            msg,
        )

    def send_views(
        self, index: int, list_age_s: float, *, confirmed: bool
    ) -> None:
        """Send each linked entry instance a view.

        :param index: index of the newest declared state; -1 for none.
        :param list_age_s: age of the target list, in seconds.
        :param confirmed: whether this instance reaches a quorum.
        """
        links: dict[str, list[Link]] = {}
        for peer in self.peers.values():
            if not peer.hello.control:
                links.setdefault(peer.hello.region, []).append(peer.link)
        for region, regional in links.items():
            view = self.fleet.view(
                region, index, list_age_s, confirmed=confirmed
            )
            self._links.send_to_all(regional, view)

    def is_active_proposer(self, voter: str) -> bool:
        """Tell whether a voter is active, reaches a quorum and is not leaving.

        It is active for ``PROPOSER_HEARTBEAT_VALID_S`` after a heartbeat.

        :param voter: name of the voter.
        """
        limit = self._now() - PROPOSER_HEARTBEAT_VALID_S
        return any(
            peer.heartbeat.confirmed and not peer.heartbeat.leaving
            for peer in self.peers.values()
            if peer.heartbeat is not None
            and peer.heartbeat.voter == voter
            and peer.heartbeat_at >= limit
        )

    def voter_silence_s(self, voter: str) -> float:
        """Return the time since a voter's last heartbeat, in seconds.

        A voter that was not heard of is silent since the start of this
        instance.

        :param voter: name of the voter.
        """
        return self._now() - self._heard_at.get(voter, self._created_at)

    def leaving_voters(self) -> set[str]:
        """Return the voters whose last heartbeat says that they stop."""
        return {
            peer.heartbeat.voter
            for peer in self.peers.values()
            if peer.heartbeat is not None and peer.heartbeat.leaving
        }

    def reachable_voters(self, own: str) -> set[str]:
        """Return the voters with which heartbeats pass in both directions.

        :param own: name of this voter.
        """
        return {
            peer.heartbeat.voter
            for peer in self.fleet.fresh_peers()
            if peer.heartbeat is not None
            and own in peer.heartbeat.receives_from
        }

    def fresh_voters(self) -> frozenset[str]:
        """Return the voters whose last heartbeat is still valid."""
        return frozenset(
            peer.heartbeat.voter
            for peer in self.fleet.fresh_peers()
            if peer.heartbeat is not None
        )

    def round_trips_s(self) -> dict[str, float]:
        """Return the shortest round-trip time to each linked region.

        In seconds; regions without a measured link are missing.
        """
        round_trips: dict[str, float] = {}
        for peer in self.peers.values():
            round_trip_s = peer.link.round_trip_s or peer.hello.round_trip_s
            if peer.hello.control and round_trip_s:
                region = peer.hello.region
                round_trips[region] = min(
                    round_trips.get(region, float('inf')), round_trip_s
                )
        return round_trips

    def demand(self, own: tuple[Demand, ...]) -> list[Demand]:
        """Return the demand of all regions by service.

        If several instances report a region and service, the largest value is
        used.

        :param own: demand that this instance measured.
        """
        largest: dict[tuple[str, str], Demand] = {}
        reports = [own]
        reports.extend(
            peer.heartbeat.demand
            for peer in self.fleet.fresh_peers()
            if peer.heartbeat is not None
        )
        for report in reports:
            for entry in report:
                key = (entry.region, entry.service)
                if key not in largest or largest[key].slots < entry.slots:
                    largest[key] = entry
        return list(largest.values())

    def build_heartbeat(
        self,
        index: int,
        voter: str,
        demand: tuple[Demand, ...],
        *,
        confirmed: bool,
    ) -> ControlHeartbeat:
        """Return the heartbeat for the other control instances.

        :param index: index of its newest declared state; -1 for none.
        :param voter: voter name of this instance.
        :param demand: demand of its region.
        :param confirmed: whether it reaches a quorum of the voters.
        """
        return ControlHeartbeat(
            index=index,
            confirmed=confirmed,
            receives_from=self.fresh_voters(),
            voter=voter,
            demand=demand,
            leaving=self.fleet.leaving,
        )

    def _record_voter(self, voter: str) -> None:
        now = self._now()
        if voter not in self._heard_at:
            self._heard_at = {
                name: heard_at
                for name, heard_at in self._heard_at.items()
                if now - heard_at < VOTER_KEPT_S
            }
        self._heard_at[voter] = now

    def _accept_hello(self, link: Link, hello: Hello) -> None:
        previous = self.peers.get(hello.name)
        peer = Peer(hello, link)
        if (
            previous is not None
            and previous.hello.incarnation == hello.incarnation
        ):
            if self._keeps_existing_link(previous.link, hello):
                link.close()
                return
            peer.heartbeat = previous.heartbeat
            peer.heartbeat_at = previous.heartbeat_at
            peer.entries = previous.entries
        link.peer = peer
        self.peers[hello.name] = peer
        self.fleet.invalidate()
        if previous is not None:
            previous.link.close()
        _log.bind(peer=hello.name, life=hello.incarnation).info('peer linked')
        self.on_peer_linked(peer)

    def _keeps_existing_link(self, link: Link, hello: Hello) -> bool:
        # If both instances dial at once there are two links. Both close the
        # link dialled by the instance with the higher name.
        is_dialled_here = id(link) in self._dialled_link_ids
        return is_dialled_here == (self._hello.name < hello.name)

    async def _dial(self, address: Address) -> None:
        link = await self._links.dial(address)
        if link is not None:
            self._dialled_link_ids.add(id(link))
            await asyncio.sleep(REDIAL_DELAY_S)


def _ignore_message(_peer: Peer, _msg: Message) -> None:
    """Ignore a message."""


def _ignore_peer(_peer: Peer) -> None:
    """Ignore a change of a peer."""
