"""Reads the body of a target's answer, ahead while it must not be sent yet."""

import asyncio
import collections
import math
from collections.abc import AsyncIterator, Callable

from ..caller_memory import Purpose
from ..pipelined_request import PipelinedRequest
from .answer_limits import AnswerLimits, read_in_time
from .answers import TargetAnswer


class AnswerBody:
    """The body of an answer that may wait for the answers before it.

    A target aborts an answer that stays unread, and its connection is in use
    until the answer is read. The body is therefore read into memory while the
    answer waits, as far as the bounds on memory allow.

    An answer that ends within its body ends the connection of the caller. It
    is therefore not begun while requests behind it run, but read to its end
    first, and no request behind it starts between its begin and the arrival
    of its end.

    :param answer: the start of the answer.
    :param req: the request, with its turn; its memory counts the bytes that
        are held.
    :param limits: until when the answer may arrive.
    :param on_ready: called once the whole body has arrived.
    """

    def __init__(
        self,
        answer: TargetAnswer,
        req: PipelinedRequest,
        limits: AnswerLimits,
        on_ready: Callable[[], None],
    ) -> None:
        self._exchange = answer.exchange
        self._complete = answer.body_complete
        self._chunks: collections.deque[bytes] = collections.deque()
        self._req = req
        self._memory = req.memory
        self._limits = limits
        #: Bytes of the body that are held.
        self._held = 0
        self._time_limit: asyncio.Timeout | None = None
        self._on_ready = on_ready
        self._hold(answer.body)
        # What a caller does not read fills the buffer of the exchange, too.
        self._memory.add(Purpose.passing_answers, answer.exchange.buffered)
        answer.exchange.on_buffered = self._count_buffered
        answer.exchange.on_complete = self._note_arrival
        if self._has_arrived:
            on_ready()

    async def read_until_start(self) -> None:
        """Read ahead until the answer may be begun.

        Raises the error with which the exchange fails, or TimeoutError.
        """
        if not self._req.has_turn:
            limits = self._limits
            self._limits = limits.delayed(math.inf)
            await self._read_until_turn()
            # The time in which other answers went first does not count.
            self._limits = limits.delayed(self._req.turn_wait_s)
        await self._read_whole()
        if not self._has_arrived:
            self._req.hold_later()

    def limit_time(self) -> asyncio.Timeout:
        """Return the limit on sending, to be entered at once.

        There is none once the body has arrived: what is ready is delivered,
        also late.
        """
        ends_at = None if self._has_arrived else self._limits.whole_by
        self._time_limit = asyncio.timeout_at(ends_at)
        return self._time_limit

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks.

        Raises the error with which the exchange fails, or TimeoutError.
        """
        while self._chunks or not self._complete:
            if not self._chunks:
                await self._read()
                continue
            yield self._release_chunk()

    def discard(self) -> None:
        """Release the bytes that are still held."""
        while self._chunks:
            self._release_chunk()
        self._exchange.on_buffered = _ignore_bytes
        self._exchange.on_complete = _ignore_arrival
        self._memory.add(Purpose.passing_answers, -self._exchange.buffered)

    @property
    def _has_arrived(self) -> bool:
        """Whether the target has sent the whole body."""
        return self._complete or self._exchange.complete

    @property
    def _must_be_read_whole(self) -> bool:
        return not self._has_arrived and self._req.has_later_started

    @property
    def _has_room(self) -> bool:
        return self._memory.has_room_for_first(self._held)

    async def _read_whole(self) -> None:
        """Read on while requests behind it run, as far as there is room."""
        limits = self._limits
        self._limits = limits.for_holding(asyncio.get_running_loop().time())
        while self._must_be_read_whole and self._has_room:
            await self._read()
        self._limits = limits

    async def _read_until_turn(self) -> None:
        turn = asyncio.create_task(self._req.wait_for_turn())
        reading = asyncio.create_task(self._read_ahead())
        try:
            await asyncio.wait(
                (turn, reading), return_when=asyncio.FIRST_COMPLETED
            )
            if not turn.done():
                await reading
                await turn
        finally:
            await _cancel(turn, reading)

    async def _read_ahead(self) -> None:
        while not self._complete:
            await self._memory.wait_for_room()
            await self._read()

    async def _read(self) -> None:
        chunk = await read_in_time(self._exchange, self._limits)
        self._complete = not chunk
        self._hold(chunk)

    def _hold(self, chunk: bytes) -> None:
        if chunk:
            self._chunks.append(chunk)
            self._held += len(chunk)
            self._memory.add_answer_bytes(len(chunk))

    def _release_chunk(self) -> bytes:
        chunk = self._chunks.popleft()
        self._held -= len(chunk)
        self._memory.add_answer_bytes(-len(chunk))
        return chunk

    def _count_buffered(self, change: int) -> None:
        self._memory.add(Purpose.passing_answers, change)

    def _note_arrival(self) -> None:
        self._on_ready()
        self._req.release_later()
        if self._time_limit is not None and not self._time_limit.expired():
            self._time_limit.reschedule(None)


async def _cancel(*tasks: asyncio.Task[None]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _ignore_bytes(_change: int) -> None:
    """Count nothing: the answer has ended."""


def _ignore_arrival() -> None:
    """Note nothing: the answer has ended."""
