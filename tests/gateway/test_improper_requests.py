"""Requests that HTTP/1.1 forbids get through the real listener to no target.

The tests guard against request smuggling: a target, or the listener itself,
that reads other requests or bodies than the caller sent.
"""

import asyncio
import contextlib

import pytest
from hypothesis import HealthCheck, given, settings

from cuminhoist.gateway import bodies

from .builders import HOST, gateway
from .improper_strategies import (
    ImproperRequest,
    improper_bodies,
    improper_heads,
)
from .message_strategies import StrictTarget

MAX_HEAD_BYTES = 2000
_PROPER = (
    f'GET /a/proper HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: id0\r\n\r\n'
).encode()
_SETTINGS = settings(
    max_examples=400,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


async def _send(port: int, req: ImproperRequest) -> bytes:
    """Return all bytes that the listener sends for an improper request.

    A proper request goes before it, so that the gateway has an idle
    connection to the target and could pass the next request on at once.
    """
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(_PROPER)
    async with asyncio.timeout(5):
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 200 ')
        assert await reader.readexactly(len(b'whole')) == b'whole'
    received = b''
    with contextlib.suppress(ConnectionError):
        for piece in req.pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        if req.cut:
            writer.write_eof()
        async with asyncio.timeout(5):
            received = await reader.read()
    writer.close()
    # Bytes on their way to the target would arrive within these iterations.
    await asyncio.sleep(0.005)
    return received


def _check_all(strategy, check) -> None:
    target = StrictTarget()
    # The timeout of the route would hide a request that is not refused.
    harness = gateway(target, timeout_s=60.0)
    with asyncio.Runner() as runner:
        running = runner.run(harness.__aenter__())
        running.set_limits(max_head_bytes=MAX_HEAD_BYTES)

        @given(strategy)
        @_SETTINGS
        def run(req: ImproperRequest) -> None:
            target.heads.clear()
            target.received.clear()
            received = runner.run(_send(running.port, req))
            assert not received or received.startswith(b'HTTP/1.1 4'), received
            assert received.count(b'HTTP/1.1 ') <= 1, received
            check(target)

        try:
            run()
        finally:
            runner.run(harness.__aexit__(None, None, None))


def test_improper_head_is_refused_and_not_passed_on():
    """Guards against a target that gets any part of a request in doubt."""

    def check(target: StrictTarget) -> None:
        assert [head.target for head in target.heads] == [b'/a/proper']

    _check_all(improper_heads(MAX_HEAD_BYTES), check)


@pytest.mark.parametrize('buffer_bytes', [8, bodies.RETRY_BUFFER_BYTES])
def test_improper_body_is_never_taken_for_a_whole_one(
    buffer_bytes, monkeypatch
):
    """Guards against a truncated body that a target runs, streamed or not."""
    monkeypatch.setattr(bodies, 'RETRY_BUFFER_BYTES', buffer_bytes)

    def check(target: StrictTarget) -> None:
        assert [req.target for req in target.received] == [b'/a/proper']
        assert b'/a/smuggled' not in {head.target for head in target.heads}

    _check_all(improper_bodies(), check)


@pytest.mark.parametrize(
    'body',
    [
        b'Content-Length: 3\r\n\r\nabc',
        b'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n',
    ],
)
async def test_bytes_after_an_ignored_upgrade_are_no_body(body):
    """Guards against a body that is prolonged by bytes of another protocol."""
    target = StrictTarget()
    async with gateway(target) as harness:
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', harness.port
        )
        writer.write(
            b'POST /a/x HTTP/1.1\r\nHost: %b\r\nX-Request-Id: id1\r\n'
            b'Connection: upgrade\r\nUpgrade: h2c\r\n%b'
            b'POST /a/smuggled HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n'
            b'\r\nhello' % (HOST.encode(), body)
        )
        async with asyncio.timeout(5):
            received = await reader.read()
        writer.close()
    assert received.startswith(b'HTTP/1.1 200 ')
    assert [req.body for req in target.received] == [b'abc']
