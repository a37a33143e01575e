"""Counts and bounds the memory that a process holds for its callers."""

import asyncio
import collections
import enum

import msgspec


class Purpose(enum.StrEnum):
    """What held bytes are for."""

    #: Answers that wait for their turn on a connection.
    waiting_answers = 'waiting-answers'


class MemoryLimits(msgspec.Struct, frozen=True):
    """Bounds on held bytes.

    :param waiting_answers_bytes: bound for all answers that wait for their
        turn.
    :param connection_bytes: bound for those of one connection.
    """

    waiting_answers_bytes: float = 32 * 1024 * 1024
    connection_bytes: float = 1024 * 1024


class CallerMemory:
    """Bytes that a process holds for all its callers.

    :param limits: the bounds.
    """

    def __init__(self, limits: MemoryLimits) -> None:
        self.limits = limits
        #: Held bytes by purpose.
        self.held: collections.Counter[Purpose] = collections.Counter()
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    @property
    def has_room(self) -> bool:
        """Whether more of answers that wait for their turn may be read."""
        held = self.held[Purpose.waiting_answers]
        return held < self.limits.waiting_answers_bytes

    def add(self, purpose: Purpose, size: int) -> None:
        """Count bytes that are held from now on.

        :param purpose: what they are for.
        :param size: number of bytes; negative if they are released.
        """
        self.held[purpose] += size
        # One at a time: what it reads is counted before the next one reads.
        while self._waiting and self.has_room:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                break

    async def wait_for_room(self) -> None:
        """Wait until more may be read; the first to wait goes on first."""
        while not self.has_room:
            waiter = asyncio.get_running_loop().create_future()
            self._waiting.append(waiter)
            await waiter


class ConnectionMemory:
    """Bytes that are held for one connection.

    :param process: counts the bytes of all connections.
    """

    def __init__(self, process: CallerMemory) -> None:
        self.process = process
        self.waiting_answers_bytes = 0
        self._released = asyncio.Event()

    def add_answer_bytes(self, size: int) -> None:
        """Count bytes of an answer that waits for its turn.

        :param size: number of bytes; negative if they are released.
        """
        self.waiting_answers_bytes += size
        self.process.add(Purpose.waiting_answers, size)
        if size < 0:
            self._released.set()

    async def wait_for_room(self) -> None:
        """Wait until more of an answer may be read before its turn."""
        limits = self.process.limits
        while self.waiting_answers_bytes >= limits.connection_bytes:
            self._released.clear()
            await self._released.wait()
        await self.process.wait_for_room()
