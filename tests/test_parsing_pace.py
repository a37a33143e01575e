"""Requests in many small pieces, on connections without a network.

They guard against clients whose few kilobytes take all of the event loop, so
that callers on other connections get no answer.
"""

import asyncio

import pytest

from cuminhoist.caller_memory import MemoryLimits, Purpose
from cuminhoist.listener_limits import ListenerLimits
from cuminhoist.parsing_pace import (
    MAX_STEPS_IN_TURN,
    SLICE_BYTES,
    ParsingPace,
    callers_budget,
)

from .builders_connection import connect

CHUNKED = b'POST /1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
TINY_CHUNK = b'1\r\nx\r\n'
#: Most pieces of a body that the parser may pass on in one turn.
MOST_PIECES = MAX_STEPS_IN_TURN + SLICE_BYTES // len(TINY_CHUNK) + 2


async def test_one_turn_takes_a_bounded_number_of_steps():
    """Guards against a turn as long as one read of the socket allows."""
    conn, _ = connect()
    conn.receive(CHUNKED + TINY_CHUNK * 40_000)
    assert 0 < len(conn.cycle.body) <= MOST_PIECES


@pytest.mark.looptime
async def test_body_in_small_chunks_arrives_whole():
    """Guards against bytes that are lost between two turns."""
    conn, transport = connect()
    conn.receive(CHUNKED + TINY_CHUNK * 3000 + b'0\r\n\r\n')
    await asyncio.sleep(10)
    assert transport.written.endswith(b'/1 ' + b'x' * 3000)


@pytest.mark.looptime
async def test_many_clients_leave_the_loop_to_others():
    """Guards against a share of the loop that grows with the connections."""
    resumed = []
    budget = callers_budget()
    for number in range(100):
        pace = ParsingPace(budget, lambda number=number: resumed.append(number))
        for _ in range(MAX_STEPS_IN_TURN):
            pace.count_step()
        pace.end_turn()
    await asyncio.sleep(0.1)
    assert len(resumed) < 50
    await asyncio.sleep(1)
    assert sorted(resumed) == list(range(100))


@pytest.mark.parametrize(
    'content',
    [
        b'\r\n' * ListenerLimits().max_head_bytes,
        CHUNKED + b'0\r\n' + b'a: b\r\n' * ListenerLimits().max_head_bytes,
    ],
    ids=['empty lines', 'trailers'],
)
@pytest.mark.looptime
async def test_endless_lines_end_the_connection(content):
    """Guards against lines without end, which take a step each."""
    conn, transport = connect()
    conn.receive(content)
    await asyncio.sleep(10)
    assert transport.ended


@pytest.mark.looptime
async def test_short_fields_are_kept_in_one_buffer():
    """Guards against a head that takes a multiple of its bytes."""
    conn, transport = connect()
    conn.receive(b'GET /1 HTTP/1.1\r\nhost: h\r\n' + b'a: b\r\n' * 600)
    assert conn.headers == []
    conn.receive(b'\r\n')
    await asyncio.sleep(1)
    assert conn.headers == [(b'host', b'h'), *[(b'a', b'b')] * 600]
    assert b'200' in transport.written


@pytest.mark.looptime
async def test_heads_that_arrive_count_as_memory():
    """Guards against long heads on many connections that end nowhere."""
    conn, transport = connect()
    memory = conn.server_state.memory
    memory.limits = MemoryLimits(high_bytes=16_000, low_bytes=10_000)
    conn.receive(b'GET /1 HTTP/1.1\r\na: ' + b'x' * 10_000)
    assert memory.held[Purpose.requests] >= 10_000
    conn.receive(b'x' * 15_000)
    assert transport.written.startswith(b'HTTP/1.1 503')
    assert b'retry-after' in transport.written
    conn.connection_lost(None)
    assert not sum(memory.held.values())


@pytest.mark.looptime
async def test_request_behind_too_many_empty_lines_does_not_run():
    """Guards against a refusal whose request runs all the same."""
    conn, transport = connect()
    lines = b'\r\n' * ListenerLimits().max_head_bytes
    conn.receive(lines + b'GET /1 HTTP/1.1\r\nhost: h\r\n\r\n')
    await asyncio.sleep(1)
    assert transport.written.count(b'HTTP/1.1') == 1
    assert conn.cycle is None
