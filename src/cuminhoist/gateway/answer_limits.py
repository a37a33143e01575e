"""Bounds on the time in which the answer of a target arrives."""

import asyncio
from typing import Self

import msgspec

from ..exchange import Exchange

#: Longest silence of a target within a body once the time for its start is
#: over, in seconds: some round trips between regions. Callers and the answers
#: behind it wait no longer for a target that has stalled.
MAX_SILENCE_S = 0.2
#: Longest time past the limit of the route, or past its turn if that is later,
#: for which an answer that arrives holds up those behind it, in seconds. Less
#: than half a second, after which a request counts as unanswered.
MAX_HOLDING_S = 0.4


class AnswerLimits(msgspec.Struct, frozen=True):
    """Until when an answer may arrive, as times of the event loop in seconds.

    A body that has begun to arrive is read on while its bytes keep coming:
    ending it would waste the run and the bytes that have been sent.

    :param head_by: when its head has to be there.
    :param whole_by: when its whole body has to be there.
    """

    head_by: float
    whole_by: float

    @classmethod
    def from_left(cls, head_left_s: float, whole_left_s: float) -> Self:
        """Return the limits that count from now on.

        :param head_left_s: time left until its head, in seconds.
        :param whole_left_s: time left until the end of its body, in seconds.
        """
        now = asyncio.get_running_loop().time()
        return cls(now + head_left_s, now + whole_left_s)

    def delayed(self, delay_s: float) -> Self:
        """Return limits for an answer that may be whole later.

        :param delay_s: how much later, in seconds.
        """
        return msgspec.structs.replace(self, whole_by=self.whole_by + delay_s)

    def for_holding(self, now: float) -> Self:
        """Return the limits of an answer that holds up those behind it.

        :param now: loop time from which it holds them up, in seconds.
        """
        holds_until = max(self.head_by, now) + MAX_HOLDING_S
        return msgspec.structs.replace(
            self, whole_by=min(self.whole_by, holds_until)
        )

    def next_bytes_by(self, now: float) -> float:
        """Return until when the next bytes of the body may arrive.

        :param now: loop time from which they are waited for, in seconds.
        """
        return min(max(self.head_by, now + MAX_SILENCE_S), self.whole_by)


async def wait_for_head(exchange: Exchange, limits: AnswerLimits) -> None:
    """Wait for the head of an answer.

    Raises the error with which the exchange fails, or TimeoutError.

    :param exchange: the exchange.
    :param limits: until when.
    """
    try:
        async with asyncio.timeout_at(limits.head_by):
            await exchange.wait_for_head()
    except TimeoutError:
        # Both happen at once if the process did not run for a while.
        if not exchange.head_received:
            raise


async def read_in_time(exchange: Exchange, limits: AnswerLimits) -> bytes:
    """Return the next bytes of a body; empty at its end.

    Raises the error with which the exchange fails, or TimeoutError if the
    target is silent for too long. The time in which nobody reads from the
    exchange does not count.

    :param exchange: the exchange.
    :param limits: until when.
    """
    if exchange.has_news:
        return await exchange.read()
    now = asyncio.get_running_loop().time()
    try:
        async with asyncio.timeout_at(limits.next_bytes_by(now)):
            return await exchange.read()
    except TimeoutError:
        if not exchange.has_news:
            raise
    return await exchange.read()
