"""Builders of instances, links and messages for the tests of the fleet."""

import asyncio

from cuminhoist.codec import Codec
from cuminhoist.fleet.control_links import ControlLinks
from cuminhoist.fleet.instance_config import Address, InstanceConfig
from cuminhoist.fleet.link import Link, LinkHandler
from cuminhoist.fleet.messages import ControlHeartbeat, EntryEndpoint, Hello
from cuminhoist.fleet.peer import Peer
from cuminhoist.fleet.target_feed import TargetFeed

SOUTH_A = 'south-a'


class RecordingLink(Link):
    """A link whose messages are kept instead of sent."""

    def __init__(self) -> None:
        super().__init__(Codec('', 'test'), LinkHandler())
        self.sent = []

    def send_encoded(self, name, frame):
        decoded = self._codec.decode(frame)
        self.sent.append(decoded.unwrap().message)

    def take(self):
        """Return the messages since the last call."""
        sent, self.sent = self.sent, []
        return sent


def hello(name, *, control=False, domain=SOUTH_A, **fields):
    """Return the hello of an instance of the region south."""
    return Hello(
        name=name,
        incarnation=name,
        address=Address(name, 7000),
        domain=domain,
        region='south',
        control=control,
        request_address=None if control else Address(name, 80),
        **fields,
    )


def instance_config(name='c0'):
    """Return the configuration of a control instance."""
    own = Address(name, 7000)
    return InstanceConfig(
        name=name,
        domain=SOUTH_A,
        region='south',
        regions={SOUTH_A: 'south', 'north-a': 'north'},
        peer_address=own,
        seeds=(own,),
        first_start=False,
        data_folder='',
        request_address=None,
        readiness_address=None,
        operator_address=own,
        lookup_address=None,
        metrics_address=own,
        target_list_address=own,
        list_calls_per_s=1,
    )


def control_links(name='c0'):
    """Return the links of a control instance, without any peer."""
    now = asyncio.get_running_loop().time
    return ControlLinks(instance_config(name), hello(name, control=True), now)


def add_peer(links, peer_hello, *, ready=True):
    """Add a linked instance; a control instance has sent a heartbeat."""
    peer = Peer(peer_hello, RecordingLink())
    if peer_hello.control:
        peer.heartbeat = heartbeat(peer_hello.name)
        peer.heartbeat_at = asyncio.get_running_loop().time()
    else:
        peer.ready = ready
    links.peers[peer_hello.name] = peer
    links.fleet.invalidate()
    return peer


def heartbeat(voter, index=-1):
    """Return the heartbeat of a control instance."""
    return ControlHeartbeat(
        index=index,
        confirmed=True,
        receives_from=frozenset(),
        voter=voter,
        demand=(),
        leaving=False,
    )


def endpoint(name):
    """Return the endpoint of an entry instance."""
    entry = hello(name)
    return EntryEndpoint(
        name, entry.request_address, entry.domain, entry.region
    )


def feed_of(entries=()):
    """Return a feed that holds a list read just now."""
    now = asyncio.get_running_loop().time
    feed = TargetFeed(None, lambda: 0, now, lambda feed: None)
    feed.listed = tuple(entries)
    feed.read_at = now()
    return feed
