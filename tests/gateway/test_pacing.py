"""Tests of pacing large answers on slow links.

Without pacing, small answers and messages wait on the link behind a large
answer and are late.
"""

import asyncio

import pytest

from cuminhoist.gateway.pacing import (
    MIN_UNPACED_BYTES_PER_S,
    ANSWER_BUFFER_BYTES,
    PIECE_DURATION_S,
    LINK_FRACTION,
    LinkPacer,
)

SLOW_BYTES_PER_S = 400_000.0
LARGE = bytes(90_000)
SMALL = bytes(400)


async def _send_times(pacer, content):
    """Return the time, in seconds, and the size of each sent piece."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    return [
        (loop.time() - started_at, len(piece))
        async for piece in pacer.pieces(content)
    ]


def _pacer(bytes_per_s):
    return LinkPacer(bytes_per_s, asyncio.get_running_loop().time)


def test_fast_links_are_not_paced():
    """Guards against delays on a link that is fast enough."""

    async def scenario():
        pacer = _pacer(MIN_UNPACED_BYTES_PER_S)
        assert not pacer.window_bytes
        assert pacer.buffer_bytes == ANSWER_BUFFER_BYTES
        return await _send_times(pacer, LARGE)

    sent = asyncio.run(scenario())
    assert [size for _, size in sent] == [len(LARGE)]


def test_large_answer_leaves_room_on_a_slow_link():
    """Guards against a large answer that takes up the whole link."""

    async def scenario():
        return await _send_times(_pacer(SLOW_BYTES_PER_S), LARGE)

    sent = asyncio.run(scenario())
    assert sum(size for _, size in sent) == len(LARGE)
    assert max(size for _, size in sent) <= SLOW_BYTES_PER_S * PIECE_DURATION_S
    last_sent_at = sent[-1][0]
    min_duration_s = (len(LARGE) - SLOW_BYTES_PER_S * PIECE_DURATION_S) / (
        SLOW_BYTES_PER_S * LINK_FRACTION
    )
    assert last_sent_at == pytest.approx(min_duration_s, rel=0.3)


def test_small_answer_does_not_wait_for_large_ones():
    """Guards against small answers that are delayed by large ones."""

    async def scenario():
        pacer = _pacer(SLOW_BYTES_PER_S)
        large = asyncio.create_task(_send_times(pacer, LARGE))
        await asyncio.sleep(0.02)
        small = await _send_times(pacer, SMALL)
        await large
        return small

    assert asyncio.run(scenario())[0][0] < 0.01


def test_two_large_answers_take_turns():
    """Guards against a large answer that waits until another is complete."""

    async def scenario():
        pacer = _pacer(SLOW_BYTES_PER_S)
        return await asyncio.gather(
            _send_times(pacer, LARGE), _send_times(pacer, LARGE)
        )

    first, second = asyncio.run(scenario())
    assert second[1][0] < first[-1][0] / 2
