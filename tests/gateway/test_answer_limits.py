"""Tests of the bounds on the time in which an answer arrives.

They guard against answers that are given up although their bytes arrive, and
against waiting for a target that has stalled.
"""

import asyncio

import pytest

from cuminhoist.exchange import Exchange, RequestHead
from cuminhoist.gateway.answer_limits import (
    MAX_SILENCE_S,
    AnswerLimits,
    read_in_time,
    wait_for_head,
)

pytestmark = [pytest.mark.looptime]


def _exchange() -> Exchange:
    return Exchange(RequestHead(b'GET', b'/', []), lambda _ended: None)


def _after(delay_s, callback, *args) -> None:
    asyncio.get_running_loop().call_later(delay_s, callback, *args)


@pytest.mark.parametrize(
    ('now', 'ends_at'),
    [(0, 1), (0.9, 0.9 + MAX_SILENCE_S), (1.5, 1.5 + MAX_SILENCE_S), (2.9, 3)],
)
def test_silence_counts_from_the_last_bytes(now, ends_at):
    """Guards against ending a body that arrives, or waiting past the end."""
    limits = AnswerLimits(head_by=1, whole_by=3)
    assert limits.next_bytes_by(now) == pytest.approx(ends_at)


async def test_bytes_keep_an_answer_past_the_limit_of_its_head():
    """Guards against the limit on the head as a limit on the body."""
    exchange = _exchange()
    limits = AnswerLimits.from_left(0.1, 10)
    for number in range(1, 9):
        _after(number * MAX_SILENCE_S / 2, exchange.feed, b'x')
    for _ in range(8):
        assert await read_in_time(exchange, limits) == b'x'
    with pytest.raises(TimeoutError):
        await read_in_time(exchange, limits)


async def test_what_arrives_with_the_end_of_the_time_is_taken():
    """Guards against answers dropped after a pause of the whole process."""
    exchange = _exchange()
    _after(0.1, exchange.mark_head_received)
    await wait_for_head(exchange, AnswerLimits.from_left(0.1, 10))
    _after(0.1, exchange.feed, b'x')
    assert await read_in_time(exchange, AnswerLimits.from_left(0, 0.1)) == b'x'


async def test_head_in_time_only():
    """Guards against waiting for the start of an answer without an end."""
    with pytest.raises(TimeoutError):
        await wait_for_head(_exchange(), AnswerLimits.from_left(0.1, 10))
