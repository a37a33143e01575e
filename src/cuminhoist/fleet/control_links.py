"""Links of a control instance, and what it knows of all instances."""

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

#: How often instances say what they know, in seconds.
BEAT_S = 0.5
#: What another control instance said counts this long, in seconds: two of
#: its messages may be late.
FRESH_S = 1.6
#: The instance that proposes for all was heard within this time, in seconds:
#: one of its messages may be late.
PROPOSER_FRESH_S = 1.1
#: Pause before an address is dialled again, in seconds.
REDIAL_S = 0.3

_log = logger('fleet')


class ControlLinks(LinkHandler, ControlPeers):
    """All links of one control instance.

    :param site: what the process knows of itself.
    :param hello: how it introduces itself.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        site: InstanceConfig,
        hello: Hello,
        now: Callable[[], float],
    ) -> None:
        self.peers: dict[str, Peer] = {}
        self.leaving = False
        self.on_message: Callable[[Peer, Message], None] = _ignore_message
        self.on_peer: Callable[[Peer], None] = _ignore_peer
        self.on_lost: Callable[[Peer], None] = _ignore_peer
        self.on_call: Callable[[Message], object] | None = None
        self._site = site
        self._hello = hello
        self._now = now
        self._links = Links(Codec('', site.name), self)
        self._seeds: set[Address] = set(site.seeds)
        self._addresses: set[Address] = set(site.seeds)
        self._dialling: dict[Address, asyncio.Task[None]] = {}
        self._dialled: set[int] = set()
        self._roster: tuple[EntryEndpoint, ...] = ()

    async def start(self) -> None:
        """Listen for links."""
        await self._links.listen(
            self._site.peer_listen_address or self._site.peer_address,
        )

    def add_addresses(self, addresses: set[Address]) -> None:
        """Dial further control instances.

        :param addresses: where they listen.
        """
        self._addresses |= addresses

    def replace_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take the seeds of changed settings.

        :param seeds: where control instances listen.
        """
        self._seeds = set(seeds)

    async def run_dialling(self) -> None:
        """Keep a link to every known control instance."""
        while True:
            linked = {
                peer.hello.address
                for peer in self.peers.values()
                if peer.hello.control
            }
            wanted = (self._addresses | self._seeds) - linked
            for address in wanted - {self._site.peer_address}:
                task = self._dialling.get(address)
                if task is None or task.done():
                    self._dialling[address] = asyncio.create_task(
                        self._dial(address),
                    )
            await asyncio.sleep(REDIAL_S)

    def link_opened(self, link: Link) -> None:
        """Introduce this instance on a new link.

        :param link: the link.
        """
        link.send(self._hello)

    def message_received(self, link: Link, msg: Message) -> None:
        """Take a message.

        :param link: where it arrived.
        :param msg: the message.
        """
        if isinstance(msg, Hello):
            self._welcome(link, msg)
            return
        peer = link.peer
        if not isinstance(peer, Peer):
            return
        if isinstance(msg, ReadinessNotice):
            peer.ready = msg.ready
        elif isinstance(msg, ControlHeartbeat):
            peer.heartbeat = msg
            peer.heartbeat_at = self._now()
            self._addresses |= {seen.address for seen in msg.controls}
        self.on_message(peer, msg)

    async def call_received(self, link: Link, msg: Message) -> Message | None:
        """Return the answer to a call.

        :param link: where it arrived.
        :param msg: the request.
        """
        if self.on_call is None:
            return None
        return await self.on_call(msg)  # type: ignore[misc, no-any-return]

    def link_closed(self, link: Link) -> None:
        """Forget the instance at the other end of a link.

        :param link: the link.
        """
        peer = link.peer
        if isinstance(peer, Peer) and self.peers.get(peer.hello.name) is peer:
            self.peers.pop(peer.hello.name)
            _log.bind(peer=peer.hello.name).info('peer lost')
            self.on_lost(peer)

    async def call(
        self,
        address: Address,
        msg: Message,
        timeout_s: float,
    ) -> Message | None:
        """Return the answer of a control instance, or nothing.

        :param address: where it listens.
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
        """Tell whether a voter was heard just now and reaches a quorum.

        :param voter: name of the voter.
        """
        limit = self._now() - PROPOSER_FRESH_S
        return any(
            peer.heartbeat.confirmed and not peer.heartbeat.leaving
            for peer in self.peers.values()
            if peer.heartbeat is not None
            and peer.heartbeat.voter == voter
            and peer.heartbeat_at >= limit
        )

    def voter_silence_s(self, voter: str) -> float:
        """Return for how long a voter has been silent, in seconds.

        :param voter: name of the voter.
        """
        heard = [
            peer.heartbeat_at
            for peer in self.peers.values()
            if peer.heartbeat is not None and peer.heartbeat.voter == voter
        ]
        return self._now() - max(heard, default=float('-inf'))

    def reachable_voters(self, own: str) -> set[str]:
        """Return the voters that hear this one and are heard.

        :param own: name of this voter.
        """
        return {
            peer.heartbeat.voter
            for peer in self._fresh()
            if peer.heartbeat is not None and own in peer.heartbeat.hears
        }

    def hearing(self) -> frozenset[str]:
        """Return the voters that are heard."""
        return frozenset(
            peer.heartbeat.voter
            for peer in self._fresh()
            if peer.heartbeat is not None
        )

    def controls(self) -> list[ControlEndpoint]:
        """Return all control instances that run and stay, this one too."""
        seen = {
            _control_seen(peer.hello)
            for peer in self.peers.values()
            if peer.hello.control
            and not (peer.heartbeat is not None and peer.heartbeat.leaving)
        }
        if not self.leaving:
            seen.add(_control_seen(self._hello))
        return sorted(seen)

    def entries(self) -> list[EntryEndpoint]:
        """Return the entry instances that take requests."""
        seen = {
            _entry_seen(peer.hello)
            for peer in self.peers.values()
            if peer.ready and not peer.hello.control
        }
        for peer in self._fresh():
            if peer.heartbeat is not None:
                seen |= set(peer.heartbeat.entries)
        return sorted(seen)

    def send_roster(self) -> None:
        """Send the entry instances to each other when they change."""
        roster = tuple(self.entries())
        if roster != self._roster:
            self._roster = roster
            self.send_to_entries(Roster(entries=roster))

    def demand(self, own: tuple[Demand, ...]) -> list[Demand]:
        """Return the demand of all regions; the largest report counts.

        :param own: what this instance reports.
        """
        largest: dict[tuple[str, str], Demand] = {}
        reports = [own]
        reports.extend(
            peer.heartbeat.demand
            for peer in self._fresh()
            if peer.heartbeat is not None
        )
        for report in reports:
            for entry in report:
                key = (entry.region, entry.service)
                if key not in largest or largest[key].slots < entry.slots:
                    largest[key] = entry
        return list(largest.values())

    def beat(
        self,
        index: int,
        voter: str,
        demand: tuple[Demand, ...],
        *,
        confirmed: bool,
    ) -> ControlHeartbeat:
        """Return what this instance says to the others.

        :param index: of the newest declared state that it knows.
        :param voter: its name as a voter.
        :param demand: what the requests of its region need.
        :param confirmed: whether it reaches a quorum of the voters.
        """
        return ControlHeartbeat(
            index=index,
            confirmed=confirmed,
            hears=self.hearing(),
            voter=voter,
            entries=tuple(
                _entry_seen(peer.hello)
                for peer in self.peers.values()
                if peer.ready and not peer.hello.control
            ),
            controls=tuple(self.controls()),
            demand=demand,
            leaving=self.leaving,
        )

    def view_for(
        self,
        region: str,
        index: int,
        *,
        confirmed: bool,
    ) -> View:
        """Return what this instance tells an entry instance.

        :param region: region of the entry instance.
        :param index: of the newest declared state that it knows.
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

    def _fresh(self) -> list[Peer]:
        limit = self._now() - FRESH_S
        return [
            peer for peer in self.peers.values() if peer.heartbeat_at >= limit
        ]

    def _welcome(self, link: Link, hello: Hello) -> None:
        known = self.peers.get(hello.name)
        peer = Peer(hello, link)
        if known is not None and known.hello.incarnation == hello.incarnation:
            if self._keeps(known.link, hello):
                link.close()
                return
            peer.heartbeat = known.heartbeat
            peer.heartbeat_at = known.heartbeat_at
        link.peer = peer
        self.peers[hello.name] = peer
        if known is not None:
            known.link.close()
        _log.bind(peer=hello.name, life=hello.incarnation).info('peer linked')
        self.on_peer(peer)

    def _keeps(self, link: Link, hello: Hello) -> bool:
        # Both sides may dial at once; both keep what the lower name dialled.
        own_dialled = id(link) in self._dialled
        return own_dialled == (self._hello.name < hello.name)

    async def _dial(self, address: Address) -> None:
        link = await self._links.dial(address)
        if link is not None:
            self._dialled.add(id(link))
            await asyncio.sleep(REDIAL_S)


def dispatcher_of(region: str, controls: list[ControlEndpoint]) -> str:
    """Return the control instance that decides for a region, or nothing.

    :param region: the region.
    :param controls: control instances that run.
    """
    return min(
        (control.name for control in controls if control.region == region),
        default='',
    )


def _control_seen(hello: Hello) -> ControlEndpoint:
    return ControlEndpoint(
        hello.name, hello.address, hello.domain, hello.region
    )


def _entry_seen(hello: Hello) -> EntryEndpoint:
    callers = hello.request_address or hello.address
    return EntryEndpoint(hello.name, callers, hello.domain, hello.region)


def _ignore_message(_peer: Peer, _msg: Message) -> None:
    """Drop a message."""


def _ignore_peer(_peer: Peer) -> None:
    """Drop a notice."""
