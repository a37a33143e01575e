"""Tests of messages that cannot be decoded or encoded.

They guard against a task or a link that ends because of one message, and
against messages that are dropped without a trace.
"""

import asyncio
import struct

import msgspec
import pytest
from prometheus_client import CollectorRegistry

from cuminhoist.codec import Codec, Message
from cuminhoist.fleet import link_meter
from cuminhoist.fleet.instance_config import Address
from cuminhoist.fleet.link import Links
from cuminhoist.fleet.link_meter import PrometheusMeter
from cuminhoist.fleet.messages import (
    LeavingNotice,
    ReadinessNotice,
    TargetList,
    WithdrawNotice,
)
from cuminhoist.steering.leaving_targets import LeavingTarget
from tests.steering.builders import target
from tests.waiting import eventually

from .test_link import RecordingHandler

UNENCODABLE = (
    TargetList(age_s=0, targets=(target('a', slots=2**64),)),
    WithdrawNotice(number=-(2**64), service=''),
    LeavingNotice(targets=(LeavingTarget('\ud800'),)),
)
SOUND = ReadinessNotice(ready=True)


class Unregistered(Message, frozen=True):
    """A message of a newer version."""


def signed(body: bytes) -> bytes:
    """Return the frame of an encoded envelope, with a valid tag."""
    return Codec('', 'a')._compute_tag(body) + body


def envelope(name: str, body: bytes) -> bytes:
    """Return the frame of an encoded message."""
    return signed(msgspec.msgpack.encode(('Z', 'a', msgspec.Raw(body))).replace(
        b'\xa1Z', msgspec.msgpack.encode(name), 1
    ))  # fmt: skip


#: Frames with a valid tag and odd content.
ODD_FRAMES = {
    'deep envelope': signed(b'\x91' * 100_000),
    'deep message': envelope('View', b'\x91' * 100_000 + b'\x01'),
    'deep field': envelope('WithdrawNotice', b'\x92' + b'\x91' * 9000),
    'number out of range': envelope(
        'Call', b'\x92\xcf' + b'\xff' * 8 + b'\xcf' + b'\xff' * 8
    ),
    'no UTF-8': envelope('WithdrawNotice', b'\x92\x01\xa1\xff'),
    'cut': envelope('View', b'\x96\x01'),
    'empty': signed(b''),
}  # fmt: skip


async def _linked_pair():
    """Return a handler, a link to it, the meters and the listener."""
    server = RecordingHandler()
    registries = CollectorRegistry(), CollectorRegistry()
    meters = [PrometheusMeter('a', 'south', one) for one in registries]
    listening = Links(Codec('', 'a'), server, meters[0])
    await listening.listen(Address('127.0.0.1', 0))
    port = listening._server.sockets[0].getsockname()[1]
    dialling = Links(Codec('', 'b'), RecordingHandler(), meters[1])
    link = await dialling.dial(Address('127.0.0.1', port))
    return server, link, registries, (listening, dialling)


def _rejected(registry, direction):
    samples = next(
        metric.samples
        for metric in registry.collect()
        if metric.name == 'cuminhoist_rejected_messages'
    )
    return sum(
        sample.value
        for sample in samples
        if sample.labels['direction'] == direction
        and sample.name.endswith('_total')
    )


@pytest.mark.parametrize('kind', ODD_FRAMES)
async def test_odd_frame_ends_only_its_link(kind):
    """Guards against errors in place of an end of the link."""
    frame = ODD_FRAMES[kind]
    assert isinstance(Codec('', 'b').decode(frame).failure(), str)
    server, link, registries, both = await _linked_pair()
    link._transport.write(struct.pack('<I', len(frame)) + frame)
    await eventually(lambda: server.closed_count == 1)
    assert _rejected(registries[0], 'received') == 1
    both[0].stop()


async def test_message_of_a_newer_version_leaves_the_link_open():
    """Guards against versions that cannot run side by side."""
    server, link, registries, both = await _linked_pair()
    link.send(Unregistered())
    link.send(SOUND)
    await eventually(lambda: bool(server.received))
    assert server.received == [SOUND]
    assert _rejected(registries[0], 'received') == 1
    link.close()
    both[0].stop()


@pytest.mark.parametrize('msg', UNENCODABLE, ids=lambda msg: type(msg).__name__)
async def test_message_that_cannot_be_encoded_is_left_out(msg):
    """Guards against the end of the task that sends it."""
    server, link, registries, (listening, dialling) = await _linked_pair()
    link.send(msg)
    dialling.send_to_all([link], msg)
    outcome = await link.call(msg, 1)
    link.send(SOUND)
    await eventually(lambda: bool(server.received))
    assert server.received == [SOUND]
    assert 'encoded' in outcome.failure()
    assert _rejected(registries[1], 'sent') == 3
    link.close()
    listening.stop()


async def test_reply_that_cannot_be_encoded_is_none():
    """Guards against a caller that waits for its time-out."""
    server, link, registries, both = await _linked_pair()

    async def answer(_link, _msg):
        return UNENCODABLE[0]

    server.call_received = answer
    outcome = await link.call(SOUND, 30)
    assert outcome.failure() == 'no answer'
    assert _rejected(registries[0], 'sent') == 1
    link.close()
    both[0].stop()


@pytest.mark.looptime
async def test_rejected_messages_are_logged_at_a_bounded_rate(monkeypatch):
    """Guards against logs that grow with what another instance sends."""
    lines = []
    monkeypatch.setattr(
        link_meter, 'log_rejected', lambda **fields: lines.append(fields)
    )
    meter = PrometheusMeter('a', 'south', CollectorRegistry())
    for _ in range(1000):
        meter.count_rejected('received', '', 'malformed')
        await asyncio.sleep(0.01)
    assert len(lines) == 1
    await asyncio.sleep(link_meter.REJECTED_LOG_INTERVAL_S)
    meter.count_rejected('received', '', 'malformed')
    assert len(lines) == 2
