"""Tests of bodies that come in chunks of one byte without end.

They guard against a faulty server whose answers take all of the event loop, so
that callers of other servers get no answer in time.
"""

import asyncio

import pytest

from cuminhoist.chunk_budget import BURST_S, MAX_PAUSE_S, ChunkBudget

from .builders_answers import SoundAnswer, exchange_of, opened_connection

#: Time that parsing a chunk takes, in seconds.
PARSE_S = 1e-6
#: Share of the event loop that all such bodies together may take.
MOST_SHARE = 0.25


async def _read_for(duration_s, count, budget, chunk):
    """Read bodies without end on several connections; return their chunks."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + duration_s
    stream = chunk * (2**16 // len(chunk))
    read = [0] * count
    opened = [opened_connection(budget) for _ in range(count)]
    for number, (conn, transport) in enumerate(opened):
        exchange = exchange_of(str(number))
        exchange.high_water_bytes = 2**30
        conn.start(exchange)
        whole = SoundAnswer(str(number), 200, b'', 'chunked').encode()
        transport.feed(whole.removesuffix(b'0\r\n\r\n'))
    while loop.time() < ends_at:
        for number, (_conn, transport) in enumerate(opened):
            assert not transport.closed
            if not transport.paused:
                begin = read[number] % len(chunk)
                read[number] += transport.feed_read(stream[begin:])
        await asyncio.sleep(0.001)
    return sum(read) / len(chunk)


@pytest.mark.looptime
@pytest.mark.parametrize('count', [1, 4, 20])
async def test_small_chunks_take_a_share_of_the_loop(count):
    """Guards against connections that are read without a pause."""
    chunks = await _read_for(5, count, ChunkBudget(), b'1\r\na\r\n')
    assert chunks * PARSE_S <= 5 * MOST_SHARE


@pytest.mark.looptime
async def test_large_chunks_are_read_without_a_pause():
    """Guards against sound bodies that are slowed down."""
    chunk = b'1000\r\n' + b'a' * 4096 + b'\r\n'
    chunks = await _read_for(1, 1, ChunkBudget(), chunk)
    # One read a millisecond, of 32 KB.
    assert chunks * len(chunk) >= 900 * 32 * 1024


@pytest.mark.looptime
async def test_pause_is_short():
    """Guards against an answer that counts as stalled for a pause of ours."""
    budget = ChunkBudget()
    assert not budget.spend(1)
    assert max(budget.spend(10_000) for _ in range(100)) <= MAX_PAUSE_S
    await asyncio.sleep(MAX_PAUSE_S + BURST_S)
    assert not budget.spend(100)
