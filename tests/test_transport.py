"""Tests of the sockets between instances.

They guard against a program that does not end although its main task has.
"""

import asyncio
import contextlib

import pynng
import pytest

from cuminhoist import transport
from cuminhoist.codec import Codec
from cuminhoist.transport import ErrorReply, PynngTransport
from demo.deployment import DeploymentConfig, on_free_ports

ENDS_WITHIN_S = 5.0


class StubbornContext:
    """A context whose operations end only when it is closed."""

    def __init__(self):
        self._closed = asyncio.Event()

    async def arecv(self):
        while not self._closed.is_set():
            with contextlib.suppress(asyncio.CancelledError):
                await self._closed.wait()
        raise pynng.Closed('closed', 7)

    asend = arecv

    def close(self):
        self._closed.set()


class StubbornListener:
    """A listener with stubborn contexts."""

    def __init__(self, **_options):
        self.new_context = StubbornContext

    def close(self):
        """Close nothing."""


def _transport():
    config = DeploymentConfig.from_example('porth-data')
    instances = on_free_ports(config.topology).instances
    return PynngTransport(Codec('key', 'a'), instances[0], instances)


@pytest.fixture
def stubborn_sockets(monkeypatch):
    monkeypatch.setattr(transport.pynng, 'Rep0', StubbornListener)


async def test_cancelled_server_never_ended(stubborn_sockets):
    """Guards against a program that hangs while a transport listens."""
    await _transport().start()
    await asyncio.sleep(0)
    # The end of an event loop cancels all tasks once.
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    _, running = await asyncio.wait(others, timeout=ENDS_WITHIN_S)
    assert not running


async def test_stopped_server_ends(stubborn_sockets):
    """Guards against a stop that waits for operations that never end."""
    server = _transport()
    await server.start()
    async with asyncio.timeout(ENDS_WITHIN_S):
        await server.stop()


async def test_message_without_encoding_ends_no_server():
    """Guards against servers that end one by one, each with one odd reply."""
    server = _transport()
    odd = ErrorReply(reason='\ud800')

    async def answer(_sender, _msg):
        return odd

    server.add_handler(ErrorReply, answer)
    own = server._own_instance.name
    await server.start()
    try:
        for _ in range(transport.SERVER_CONTEXTS + 1):
            reply = await server.call(own, ErrorReply(reason=''), 5)
            assert reply.failure().reason == 'internal error'
        refused = await server.call(own, odd, 5)
        assert 'encode' in refused.failure().reason
    finally:
        await server.stop()
