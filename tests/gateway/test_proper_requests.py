"""Requests that HTTP/1.1 permits pass through the real listener unchanged."""

import asyncio

from hypothesis import HealthCheck, given, settings

from .builders import gateway
from .message_strategies import SentRequest, StrictTarget, proper_requests

#: Smallest limit of a head that operators set; callers may use all of it.
MAX_HEAD_BYTES = 16 * 1024


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


def test_proper_request_is_never_refused_as_wrong():
    """Guards against a 4xx for, or a change of, a request that is proper."""
    target = StrictTarget()
    harness = gateway(target, timeout_s=5.0)
    with asyncio.Runner() as runner:
        running = runner.run(harness.__aenter__())

        @given(proper_requests(MAX_HEAD_BYTES))
        @settings(
            max_examples=300,
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
