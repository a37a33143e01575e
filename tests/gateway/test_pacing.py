"""Tests of large answers on slow links."""

import asyncio

import pytest

from cuminhoist.gateway.pacing import (
    FAST_BYTES_S,
    HELD_BYTES,
    PIECE_S,
    USED_PART,
    LinkPacer,
)

SLOW = 400_000.0
LARGE = bytes(90_000)
SMALL = bytes(400)


async def _take(pacer, content):
    """Return when each piece was let onto the link."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    return [
        (loop.time() - began, len(piece))
        async for piece in pacer.pieces(content)
    ]


def _pacer(bytes_s):
    return LinkPacer(bytes_s, asyncio.get_running_loop().time)


def test_fast_links_are_not_paced():
    """Guards against waits where the link is no limit."""

    async def scenario():
        pacer = _pacer(FAST_BYTES_S)
        assert not pacer.window_bytes
        assert pacer.held_bytes == HELD_BYTES
        return await _take(pacer, LARGE)

    taken = asyncio.run(scenario())
    assert [size for _, size in taken] == [len(LARGE)]


def test_large_answer_leaves_room_on_a_slow_link():
    """Guards against an answer that fills the link at once."""

    async def scenario():
        return await _take(_pacer(SLOW), LARGE)

    taken = asyncio.run(scenario())
    assert sum(size for _, size in taken) == len(LARGE)
    assert max(size for _, size in taken) <= SLOW * PIECE_S
    last_at = taken[-1][0]
    shortest = (len(LARGE) - SLOW * PIECE_S) / (SLOW * USED_PART)
    assert last_at == pytest.approx(shortest, rel=0.3)


def test_small_answer_does_not_wait_for_large_ones():
    """Guards against small answers that are late behind large ones."""

    async def scenario():
        pacer = _pacer(SLOW)
        large = asyncio.create_task(_take(pacer, LARGE))
        await asyncio.sleep(0.02)
        small = await _take(pacer, SMALL)
        await large
        return small

    assert asyncio.run(scenario())[0][0] < 0.01


def test_two_large_answers_take_turns():
    """Guards against a large answer that waits until another is whole."""

    async def scenario():
        pacer = _pacer(SLOW)
        return await asyncio.gather(_take(pacer, LARGE), _take(pacer, LARGE))

    one, other = asyncio.run(scenario())
    assert other[1][0] < one[-1][0] / 2
