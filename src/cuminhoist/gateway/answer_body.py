"""Reads the body of a target's answer, ahead while it waits for its turn."""

import asyncio
import collections
from collections.abc import AsyncIterator

from ..caller_memory import ConnectionMemory, Purpose
from ..pipelined_request import PipelinedRequest
from .answers import TargetAnswer


class AnswerBody:
    """The body of an answer that may wait for the answers before it.

    A target aborts an answer that stays unread, and its connection is in use
    until the answer is read. The body is therefore read into memory while the
    answer waits, as far as the bounds on memory allow.

    :param answer: the start of the answer.
    :param memory: counts the bytes that are held.
    """

    def __init__(self, answer: TargetAnswer, memory: ConnectionMemory) -> None:
        self._exchange = answer.exchange
        self._complete = answer.body_complete
        self._chunks: collections.deque[bytes] = collections.deque()
        self._memory = memory
        self._hold(answer.body)
        # What a caller does not read fills the buffer of the exchange, too.
        memory.add(Purpose.passing_answers, answer.exchange.buffered)
        answer.exchange.on_buffered = lambda change: memory.add(
            Purpose.passing_answers, change
        )

    @property
    def is_complete(self) -> bool:
        """Whether the target has sent the whole body."""
        return self._complete

    async def read_until_turn(
        self, req: PipelinedRequest, left_s: float
    ) -> None:
        """Read ahead until it is the answer's turn.

        Raises the error with which the exchange fails, or TimeoutError.

        :param req: the request, with its turn.
        :param left_s: time left for the target to send the answer, in
            seconds.
        """
        if req.has_turn:
            return
        turn = asyncio.create_task(req.wait_for_turn())
        reading = asyncio.create_task(self._read_ahead())
        try:
            async with asyncio.timeout(left_s):
                await asyncio.wait(
                    (turn, reading), return_when=asyncio.FIRST_COMPLETED
                )
                if not turn.done():
                    await reading
            await turn
        finally:
            await _cancel(turn, reading)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks.

        Raises the error with which the exchange fails.
        """
        while self._chunks or not self._complete:
            if not self._chunks:
                await self._read()
                continue
            chunk = self._chunks.popleft()
            self._memory.add_answer_bytes(-len(chunk))
            yield chunk

    def discard(self) -> None:
        """Release the bytes that are still held."""
        while self._chunks:
            self._memory.add_answer_bytes(-len(self._chunks.popleft()))
        self._exchange.on_buffered = _ignore_bytes
        self._memory.add(Purpose.passing_answers, -self._exchange.buffered)

    async def _read_ahead(self) -> None:
        while not self._complete:
            await self._memory.wait_for_room()
            await self._read()

    async def _read(self) -> None:
        chunk = await self._exchange.read()
        self._complete = not chunk
        self._hold(chunk)

    def _hold(self, chunk: bytes) -> None:
        if chunk:
            self._chunks.append(chunk)
            self._memory.add_answer_bytes(len(chunk))


async def _cancel(*tasks: asyncio.Task[None]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _ignore_bytes(_change: int) -> None:
    """Count nothing: the answer has ended."""
