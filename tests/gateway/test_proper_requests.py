"""Requests that HTTP/1.1 permits pass through the real listener unchanged."""

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings

from .builders import gateway
from .message_strategies import SentRequest, StrictTarget, proper_requests


async def _send(port: int, req: SentRequest) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    for piece in req.pieces:
        writer.write(piece)
        await writer.drain()
        # Lets the listener read this piece before the next one.
        await asyncio.sleep(0)
    async with asyncio.timeout(5):
        head = await reader.readuntil(b'\r\n\r\n')
    writer.close()
    return head


@pytest.mark.parametrize('max_head_bytes', [4 * 1024, 16 * 1024, 200 * 1024])
def test_proper_request_is_never_refused_as_wrong(max_head_bytes):
    """Guards against a 4xx for, or a change of, a request that is proper.

    Heads may use all of the limit that is in force, however high it is.
    """
    target = StrictTarget()
    harness = gateway(target, timeout_s=5.0)
    with asyncio.Runner() as runner:
        running = runner.run(harness.__aenter__())

        running.set_limits(max_head_bytes=max_head_bytes)

        @given(proper_requests(max_head_bytes))
        @settings(
            max_examples=200,
            derandomize=True,
            database=None,
            deadline=None,
            suppress_health_check=list(HealthCheck),
        )
        def check(req: SentRequest) -> None:
            target.received.clear()
            head = runner.run(_send(running.port, req))
            assert head.startswith(b'HTTP/1.1 200 '), head
            [received] = target.received
            assert received.method == req.method
            assert received.target == req.target
            assert received.body == req.body
            passed_on = [
                header for header in received.headers if header in req.headers
            ]
            assert passed_on == list(req.headers)

        try:
            check()
        finally:
            runner.run(harness.__aexit__(None, None, None))
