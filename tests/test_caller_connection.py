"""Parsing of a caller's connection, without sockets.

The tests guard against a parser that stays where it is: it would hold the
event loop, and with it all requests of the process, for good.
"""

import asyncio
import random

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from loguru import logger

from cuminhoist import caller_connection

from .builders_connection import (
    ProperRequest,
    connect,
    exchange,
    final_answers,
    proper_requests,
    streams,
)

_UPGRADE = ('Connection: Upgrade', 'Upgrade: h2c')
_SETTINGS = settings(
    max_examples=300,
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)


@pytest.mark.parametrize('chunk_bytes', [None, 0, 4])
@pytest.mark.parametrize('body', [b'', b'content'])
async def test_request_behind_an_ignored_upgrade(body, chunk_bytes):
    """Guards against a parser that waits for a body that is complete."""
    first = ProperRequest('/1', body, _UPGRADE, chunk_bytes)
    behind = ProperRequest('/2')
    transport = await exchange([first.encode() + behind.encode()])
    assert final_answers(transport.written) == [first.answer()]
    assert b'connection: close' in transport.written
    assert transport.ended


def test_proper_requests_are_answered_within_a_step_for_each_byte():
    """Guards against any series of requests that the parser stops within."""

    @given(streams())
    @_SETTINGS
    def run(stream: tuple[list[ProperRequest], list[bytes]]) -> None:
        requests, pieces = stream
        transport = asyncio.run(exchange(pieces))
        ends = [req.ends for req in requests]
        count = ends.index(True) + 1 if True in ends else len(requests)
        answers = [req.answer() for req in requests[:count]]
        assert final_answers(transport.written) == answers

    run()


def test_changed_requests_take_a_step_for_each_byte_at_most():
    """Guards against improper bytes that the parser stops within."""

    @given(
        streams(),
        proper_requests().map(ProperRequest.encode),
        st.integers(0, 2**32),
    )
    @_SETTINGS
    def run(stream, other: bytes, seed: int) -> None:
        _, pieces = stream
        rng = random.Random(seed)
        content = bytearray(b''.join(pieces))
        for _ in range(rng.randrange(1, 4)):
            place = rng.randrange(len(content))
            content[place : place + rng.randrange(3)] = rng.choice(
                (b'', b'\r\n', b'\n', b'\x00', b'0', b'9', b':', other)
            )
            content = content or bytearray(b'\r')
        size = rng.choice((1, 5, len(content)))
        asyncio.run(
            exchange(
                [
                    bytes(content[start : start + size])
                    for start in range(0, len(content), size)
                ]
            )
        )

    run()


async def test_parser_that_takes_nothing_ends_the_connection(monkeypatch):
    """Guards against the hang of a process for any fault in the framing."""

    class StuckFraming:
        def cut(self, data: bytes) -> tuple[bytes, bytes]:
            return b'', data

    monkeypatch.setattr(
        caller_connection, 'find_framing', lambda _headers: StuckFraming()
    )
    records = []
    handler = logger.add(lambda msg: records.append(msg.record['message']))
    conn, transport = connect()
    try:
        conn.receive(ProperRequest('/1', b'x', chunk_bytes=0).encode())
    finally:
        logger.remove(handler)
    assert transport.ended
    assert 'connection closed: its bytes cannot be read' in records
