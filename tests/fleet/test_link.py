"""Tests of links between instances.

They guard against lost messages, calls that never end, and links that are
closed without need, each of which cuts an instance off from the fleet.
"""

import asyncio

import pytest

from cuminhoist.codec import Codec
from cuminhoist.fleet.control_links import ControlLinks
from cuminhoist.fleet.instance_config import Address, InstanceConfig
from cuminhoist.fleet.link import (
    MAX_FIRST_FRAME_BYTES,
    Link,
    LinkHandler,
    Links,
)
from cuminhoist.fleet.messages import Hello, ReadinessNotice
from tests.waiting import eventually


class RecordingHandler(LinkHandler):
    """Records messages and links, and answers calls with their request."""

    def __init__(self) -> None:
        self.received = []
        self.links = []
        self.closed_count = 0

    def link_opened(self, link):
        self.links.append(link)

    def message_received(self, link, msg):
        self.received.append(msg)

    async def call_received(self, link, msg):
        return msg

    def link_closed(self, link):
        self.closed_count += 1


async def _linked_pair():
    server, client = RecordingHandler(), RecordingHandler()
    listening = Links(Codec('', 'a'), server)
    await listening.listen(Address('127.0.0.1', 0))
    port = listening._server.sockets[0].getsockname()[1]
    dialling = Links(Codec('', 'b'), client)
    link = await dialling.dial(Address('127.0.0.1', port))
    return server, client, link, listening


async def test_messages_and_calls_arrive():
    """Guards against lost or reordered messages on a link."""
    server, _, link, listening = await _linked_pair()
    for ready in (True, False, True):
        link.send(ReadinessNotice(ready=ready))
    answer = await link.call(ReadinessNotice(ready=False), 1)
    assert answer.unwrap() == ReadinessNotice(ready=False)
    assert [msg.ready for msg in server.received] == [True, False, True]
    link.close()
    listening.stop()


async def test_lost_link_ends_calls():
    """Guards against calls that wait until their time-out on a closed link."""
    server, client, link, listening = await _linked_pair()
    server.call_received = lambda link, msg: asyncio.sleep(60)
    call = asyncio.create_task(link.call(ReadinessNotice(ready=True), 30))
    await eventually(lambda: bool(server.links))
    server.links[0].close()
    answer = await call
    assert answer.failure() == 'no answer'
    assert client.closed_count == 1
    listening.stop()


async def test_malformed_frame_closes_the_link():
    """Guards against reading on after a frame that cannot be decoded."""
    server, _, link, listening = await _linked_pair()
    link._transport.write(b'\x03\x00\x00\x00abc')
    await eventually(lambda: server.closed_count == 1)
    listening.stop()


async def test_dial_of_a_closed_port_is_a_value():
    """Guards against an exception when the dialled instance is down."""
    links = Links(Codec('', 'a'), RecordingHandler())
    assert await links.dial(Address('127.0.0.1', 1)) is None


@pytest.mark.parametrize(
    'address', [Address('127.0.0.1', 2**63), Address('127.0.0.1', -1)], ids=str
)
async def test_dial_of_an_address_out_of_range_is_a_value(address):
    """Guards against an error for an address that another instance told."""
    links = Links(Codec('', 'a'), RecordingHandler())
    assert await links.dial(address) is None


def _instance_config(name, port, seeds):
    own = Address('127.0.0.1', port)
    return InstanceConfig(
        name=name,
        domain='a',
        region='south',
        regions={'a': 'south'},
        peer_address=own,
        seeds=seeds,
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


async def test_two_control_instances_keep_one_link():
    """Guards against two instances that each close the other's link.

    Both dial at once; if each keeps its own link, both links are closed and
    the dials repeat.
    """
    loop = asyncio.get_running_loop()
    ports = []
    for _ in range(2):
        server = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
        ports.append(server.sockets[0].getsockname()[1])
        server.close()
        await server.wait_closed()
    seeds = tuple(Address('127.0.0.1', port) for port in ports)
    both = []
    for name, port in zip('ab', ports, strict=True):
        config = _instance_config(name, port, seeds)
        hello = Hello(
            name=name,
            incarnation=name,
            address=config.peer_address,
            domain='a',
            region='south',
            control=True,
        )
        links = ControlLinks(config, hello, loop.time)
        await links.start()
        both.append(links)
    tasks = [asyncio.create_task(links.run_dialling()) for links in both]
    await eventually(lambda: all(links.peers for links in both))
    # After 1 s both have dialled, and one of the two links is closed.
    await asyncio.sleep(1)
    kept = [next(iter(links.peers.values())).link for links in both]
    await asyncio.sleep(0.6)
    for links, link in zip(both, kept, strict=True):
        assert next(iter(links.peers.values())).link is link
        assert not link.ended
    for task in tasks:
        task.cancel()
    for links, link in zip(both, kept, strict=True):
        link.close()
        links._links.stop()


def test_link_is_a_protocol():
    """Guards against a link that asyncio cannot use as a protocol."""
    assert issubclass(Link, asyncio.Protocol)


async def test_error_of_a_handler_keeps_the_link():
    """Guards against a link that is closed by an exception in its handler.

    One such message would cut a region off from its dispatcher.
    """
    server, _, link, listening = await _linked_pair()

    def fail(_link, msg):
        server.received.append(msg)
        raise ValueError(msg)

    server.message_received = fail
    for _ in range(2):
        link.send(ReadinessNotice(ready=True))
    await eventually(lambda: len(server.received) == 2)
    assert not link.ended
    link.close()
    listening.stop()


async def test_long_first_frame_closes_the_link():
    """Guards against unknown senders that fill the memory."""
    server, _, link, listening = await _linked_pair()
    port = listening._server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write((MAX_FIRST_FRAME_BYTES + 1).to_bytes(4, 'little'))
    # It ends with the connection.
    await reader.read()
    writer.close()
    link.send(ReadinessNotice(ready=True))
    await eventually(lambda: server.received)
    link.close()
    listening.stop()


async def test_unknown_links_make_room():
    """Guards against unknown senders that keep instances out."""
    server = RecordingHandler()
    listening = Links(Codec('', 'a'), server, max_unknown=2)
    await listening.listen(Address('127.0.0.1', 0))
    port = listening._server.sockets[0].getsockname()[1]
    link = await Links(Codec('', 'b'), RecordingHandler()).dial(
        Address('127.0.0.1', port)
    )
    link.send(ReadinessNotice(ready=True))
    await eventually(lambda: server.received)
    writers = []
    for _ in range(5):
        writers.append((await asyncio.open_connection('127.0.0.1', port))[1])
    await eventually(lambda: server.closed_count == 3)
    assert not server.links[0].ended
    for writer in writers:
        writer.close()
    link.close()
    listening.stop()
