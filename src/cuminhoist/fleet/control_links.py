"""Links of a control instance and the fleet state collected from them.

Every control instance keeps a link to every other control instance and sends
a heartbeat on each of them every 0.5 s. Membership, quorum and demand are
derived from the heartbeats that are still valid.
"""

import asyncio
from collections.abc import Callable

from returns.result import Success

from ..codec import Codec, Message
from ..logging_setup import logger
from ..register.replica import ControlPeers
from ..steering.demand import Demand
from .instance_config import Address, InstanceConfig
from .link import Link, LinkHandler, Links
from .messages import (
    ControlEndpoint,
    ControlHeartbeat,
    EntryEndpoint,
    Hello,
    ReadinessNotice,
    Roster,
    View,
)
from .peer import Peer

#: Interval between heartbeats to control instances, and between views to entry
#: instances, in seconds.
HEARTBEAT_INTERVAL_S = 0.5
#: A heartbeat of another control instance is valid this long, in seconds: two
#: heartbeats may be late.
HEARTBEAT_VALID_S = 1.6
#: The proposer is active if its last heartbeat is at most this old, in seconds:
#: one heartbeat may be late.
PROPOSER_HEARTBEAT_VALID_S = 1.1
#: Interval between checks for missing links, and pause after a successful dial
#: before the address is dialled again, in seconds.
REDIAL_DELAY_S = 0.3

_log = logger('fleet')


class ControlLinks(LinkHandler, ControlPeers):
    """All links of one control instance.

    :param config: configuration of this instance.
    :param hello: first message on each link.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        config: InstanceConfig,
        hello: Hello,
        now: Callable[[], float],
    ) -> None:
        self.peers: dict[str, Peer] = {}
        self.leaving = False
        self.on_message: Callable[[Peer, Message], None] = _ignore_message
        self.on_peer_linked: Callable[[Peer], None] = _ignore_peer
        self.on_peer_lost: Callable[[Peer], None] = _ignore_peer
        self.on_call: Callable[[Message], object] | None = None
        self._config = config
        self._hello = hello
        self._now = now
        self._links = Links(Codec('', config.name), self)
        self._seeds: set[Address] = set(config.seeds)
        self._addresses: set[Address] = set(config.seeds)
        self._dial_tasks: dict[Address, asyncio.Task[None]] = {}
        self._dialled_link_ids: set[int] = set()
        self._sent_roster: tuple[EntryEndpoint, ...] = ()

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
        link.send(self._hello)

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
            peer.ready = msg.ready
        elif isinstance(msg, ControlHeartbeat):
            peer.heartbeat = msg
            peer.heartbeat_at = self._now()
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
        for peer in self.peers.values():
            if peer.hello.control:
                peer.link.send(msg)

    def send_to_entries(self, msg: Message) -> None:
        """Send a message to all linked entry instances.

        :param msg: the message.
        """
        for peer in self.peers.values():
            if not peer.hello.control:
                peer.link.send(msg)

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

        Infinite if no linked instance has sent one as this voter.

        :param voter: name of the voter.
        """
        heartbeat_times = [
            peer.heartbeat_at
            for peer in self.peers.values()
            if peer.heartbeat is not None and peer.heartbeat.voter == voter
        ]
        return self._now() - max(heartbeat_times, default=float('-inf'))

    def reachable_voters(self, own: str) -> set[str]:
        """Return the voters with which heartbeats pass in both directions.

        :param own: name of this voter.
        """
        return {
            peer.heartbeat.voter
            for peer in self._fresh_peers()
            if peer.heartbeat is not None
            and own in peer.heartbeat.receives_from
        }

    def fresh_voters(self) -> frozenset[str]:
        """Return the voters whose last heartbeat is still valid."""
        return frozenset(
            peer.heartbeat.voter
            for peer in self._fresh_peers()
            if peer.heartbeat is not None
        )

    def controls(self) -> list[ControlEndpoint]:
        """Return all running control instances that are not leaving."""
        endpoints = {
            _control_endpoint(peer.hello)
            for peer in self.peers.values()
            if peer.hello.control
            and not (peer.heartbeat is not None and peer.heartbeat.leaving)
        }
        if not self.leaving:
            endpoints.add(_control_endpoint(self._hello))
        return sorted(endpoints)

    def entries(self) -> list[EntryEndpoint]:
        """Return the entry instances of the fleet that accept requests.

        Ready ones with a link to this instance or to a control instance whose
        last heartbeat is valid.
        """
        endpoints = {
            _entry_endpoint(peer.hello)
            for peer in self.peers.values()
            if peer.ready and not peer.hello.control
        }
        for peer in self._fresh_peers():
            if peer.heartbeat is not None:
                endpoints |= set(peer.heartbeat.entries)
        return sorted(endpoints)

    def send_roster(self) -> None:
        """Send the list of entry instances to all of them if it changed."""
        roster = tuple(self.entries())
        if roster != self._sent_roster:
            self._sent_roster = roster
            self.send_to_entries(Roster(entries=roster))

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
            for peer in self._fresh_peers()
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
            entries=tuple(
                _entry_endpoint(peer.hello)
                for peer in self.peers.values()
                if peer.ready and not peer.hello.control
            ),
            controls=tuple(self.controls()),
            demand=demand,
            leaving=self.leaving,
        )

    def build_view(
        self,
        region: str,
        index: int,
        *,
        confirmed: bool,
    ) -> View:
        """Return the view for an entry instance.

        :param region: region of the entry instance.
        :param index: index of the newest declared state; -1 for none.
        :param confirmed: whether it reaches a quorum.
        """
        controls = self.controls()
        entries = self.entries()
        return View(
            index=index,
            confirmed=confirmed,
            dispatcher=dispatcher_of(region, controls),
            entries=len(entries),
            region_entries=sum(entry.region == region for entry in entries),
        )

    def _fresh_peers(self) -> list[Peer]:
        limit = self._now() - HEARTBEAT_VALID_S
        return [
            peer for peer in self.peers.values() if peer.heartbeat_at >= limit
        ]

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
        link.peer = peer
        self.peers[hello.name] = peer
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


def dispatcher_of(region: str, controls: list[ControlEndpoint]) -> str:
    """Return the name of a region's dispatcher; empty if there is none.

    The control instance of the region with the lowest name is its dispatcher.

    :param region: name of the region.
    :param controls: running control instances.
    """
    return min(
        (control.name for control in controls if control.region == region),
        default='',
    )


def _control_endpoint(hello: Hello) -> ControlEndpoint:
    return ControlEndpoint(
        hello.name, hello.address, hello.domain, hello.region
    )


def _entry_endpoint(hello: Hello) -> EntryEndpoint:
    request_address = hello.request_address or hello.address
    return EntryEndpoint(
        hello.name, request_address, hello.domain, hello.region
    )


def _ignore_message(_peer: Peer, _msg: Message) -> None:
    """Ignore a message."""


def _ignore_peer(_peer: Peer) -> None:
    """Ignore a change of a peer."""
