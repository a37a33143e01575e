"""Counts and bounds the memory that a process holds for its callers."""

import asyncio
import collections
import enum
import math
from collections.abc import Callable
from typing import Self

import msgspec

#: Marks as fractions of the memory limit of the process. The rest is for the
#: program, its state, the buffers of connections to targets and of the kernel,
#: and for requests that were accepted below the high mark.
HIGH_FRACTION = 0.25
LOW_FRACTION = 0.2
#: Fraction of the high mark for answers that wait for their turn, so that
#: they alone never cause refusals.
WAITING_FRACTION = 0.5
#: Fraction of the high mark from which on no request is read ahead of another
#: one on its connection.
READ_AHEAD_FRACTION = 0.5
#: Multiple of the high mark from which on the listener refuses requests before
#: it keeps their heads. The application has refused others by then.
EXHAUSTED_FACTOR = 1.25
#: Fraction of the high mark for those of one connection.
CONNECTION_FRACTION = 1 / 64
#: A connection may be closed for memory if its writing stayed paused for so
#: long and its caller took less than ``PROGRESS_BYTES``, in seconds.
STALL_S = 1.0
#: A caller that reads takes as many in much less time, also on a slow link
#: that it shares with others.
PROGRESS_BYTES = 10 * 1024
#: Time between two looks at what stalled callers have taken, in seconds.
LOOK_S = STALL_S / 4


class Purpose(enum.StrEnum):
    """What held bytes are for."""

    #: Answers that wait for their turn on a connection.
    waiting_answers = 'waiting-answers'
    #: Answers on the way from targets to their callers.
    passing_answers = 'passing-answers'
    #: Written bytes that a caller's connection has not taken.
    unsent_bytes = 'unsent-bytes'
    #: Bodies of unanswered requests.
    request_bodies = 'request-bodies'
    #: Unanswered requests: their heads and what the program keeps for each.
    requests = 'requests'
    #: Received bytes of requests behind those that are read ahead.
    unread_requests = 'unread-requests'


class MemoryLimits(msgspec.Struct, frozen=True):
    """Bounds on held bytes.

    :param high_bytes: from here on, new requests are refused and connections
        whose callers do not read are closed.
    :param low_bytes: below this, requests are accepted again.
    :param waiting_answers_bytes: bound for all answers that wait for their
        turn.
    :param connection_bytes: bound for those of one connection. The first
        answer may take as much again.
    """

    high_bytes: float = math.inf
    low_bytes: float = math.inf
    waiting_answers_bytes: float = 32 * 1024 * 1024
    connection_bytes: float = 1024 * 1024

    @classmethod
    def from_memory(cls, memory_bytes: float) -> Self:
        """Derive the bounds from the memory limit of the process.

        :param memory_bytes: the limit; 0 if there is none.
        """
        if not memory_bytes:
            return cls()
        high_bytes = memory_bytes * HIGH_FRACTION
        return cls(
            high_bytes,
            memory_bytes * LOW_FRACTION,
            high_bytes * WAITING_FRACTION,
            high_bytes * CONNECTION_FRACTION,
        )


class Stall(msgspec.Struct):
    """A connection whose writing is paused.

    :param since: loop time since which its caller has made no progress.
    :param unsent: bytes that its caller had not taken then.
    """

    since: float
    unsent: int


class CallerMemory:
    """Bytes that a process holds for all its callers.

    :param limits: the bounds.
    """

    def __init__(self, limits: MemoryLimits) -> None:
        self.limits = limits
        #: Held bytes by purpose.
        self.held: collections.Counter[Purpose] = collections.Counter()
        #: Whether new requests are refused.
        self.is_full = False
        #: Connections that were closed for memory.
        self.closed_connections = 0
        self._total = 0
        self._stalled: dict[ConnectionMemory, Stall] = {}
        #: Connections with an incomplete request, and the loop time of its
        #: last bytes; the longest silence first.
        self._arriving: dict[ConnectionMemory, float] = {}
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._relief: asyncio.TimerHandle | None = None
        self._look: asyncio.TimerHandle | None = None

    @property
    def allows_reading_ahead(self) -> bool:
        """Whether a request may be read behind one without an answer."""
        bound = self.limits.high_bytes * READ_AHEAD_FRACTION
        return self._total < bound and not self.is_full

    @property
    def is_exhausted(self) -> bool:
        """Whether not even the head of another request may be kept."""
        return self._total >= self.limits.high_bytes * EXHAUSTED_FACTOR

    @property
    def has_room(self) -> bool:
        """Whether more of answers that wait for their turn may be read."""
        held = self.held[Purpose.waiting_answers]
        return held < self.limits.waiting_answers_bytes and not self.is_full

    def add(self, purpose: Purpose, size: int) -> None:
        """Count bytes that are held from now on.

        :param purpose: what they are for.
        :param size: number of bytes; negative if they are released.
        """
        self.held[purpose] += size
        self._total += size
        if self._total >= self.limits.high_bytes:
            self.is_full = True
            self._plan_relief(0)
        elif self._total < self.limits.low_bytes:
            self.is_full = False
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

    def note_stall(self, conn: 'ConnectionMemory', *, stalled: bool) -> None:
        """Note whether the caller of a connection reads its answer.

        :param conn: the connection.
        :param stalled: whether writing to it is paused.
        """
        if not stalled:
            self._stalled.pop(conn, None)
        elif conn not in self._stalled:
            now = asyncio.get_running_loop().time()
            self._stalled[conn] = Stall(now, conn.count_unsent())
            self._plan_look()

    def note_arriving(
        self, conn: 'ConnectionMemory', *, arriving: bool
    ) -> None:
        """Note whether more of a request is due from the caller.

        :param conn: the connection; it has received bytes, or reads on.
        :param arriving: whether a head or a body is not complete, and reading
            is not paused.
        """
        self._arriving.pop(conn, None)
        if arriving:
            now = asyncio.get_running_loop().time()
            self._arriving[conn] = now

    def _plan_look(self) -> None:
        if self._look is None:
            loop = asyncio.get_running_loop()
            self._look = loop.call_later(LOOK_S, self._note_progress)

    def _note_progress(self) -> None:
        """Let the stalls of callers that read begin anew.

        Writing may stay paused for seconds although a caller reads: large
        pieces are written at once, and the kernel tells of room only once a
        large part of its buffer is free.
        """
        self._look = None
        now = asyncio.get_running_loop().time()
        for conn, stall in self._stalled.items():
            unsent = conn.count_unsent()
            if stall.unsent - unsent >= PROGRESS_BYTES:
                stall.since = now
                stall.unsent = unsent
        if self._stalled:
            self._plan_look()

    def _plan_relief(self, delay_s: float) -> None:
        if self._relief is None:
            loop = asyncio.get_running_loop()
            self._relief = loop.call_later(delay_s, self._relieve)

    def close_stalled(self) -> None:
        """Close the connection that holds most of those that do not read.

        Its requests use connections to targets that others need. Nothing
        happens if all callers read.
        """
        now = asyncio.get_running_loop().time()
        stalled = self._stalled_since(now - STALL_S)
        if stalled:
            self._close(max(stalled, key=lambda conn: conn.total))

    def _relieve(self) -> None:
        """Close connections without progress, those that hold most first."""
        self._relief = None
        if not self.is_full:
            return
        before = asyncio.get_running_loop().time() - STALL_S
        closable = self._stalled_since(before)
        closable += [
            conn
            for conn, received_at in self._arriving.items()
            if received_at <= before
        ]
        closable.sort(key=lambda conn: conn.total)
        left = self._total
        while closable and left >= self.limits.low_bytes:
            conn = closable.pop()
            left -= conn.total
            self._close(conn)
        self._plan_relief(STALL_S / 4)

    def _stalled_since(self, before: float) -> list['ConnectionMemory']:
        """Return the connections whose callers have not read since a time."""
        return [
            conn
            for conn, stall in self._stalled.items()
            if stall.since <= before
        ]

    def _close(self, conn: 'ConnectionMemory') -> None:
        self._stalled.pop(conn, None)
        self._arriving.pop(conn, None)
        self.closed_connections += 1
        conn.close()


class ConnectionMemory:
    """Bytes that are held for one connection.

    :param process: counts the bytes of all connections.
    :param close: closes the connection at once.
    :param count_unsent: returns how many written bytes its caller has not
        taken, also those that the kernel holds.
    """

    def __init__(
        self,
        process: CallerMemory,
        close: Callable[[], None],
        count_unsent: Callable[[], int] = int,
    ) -> None:
        self.process = process
        self.close = close
        self.count_unsent = count_unsent
        self._held: dict[Purpose, int] = {}
        self._released = asyncio.Event()

    @property
    def total(self) -> int:
        """All bytes that are held for the connection."""
        return sum(self._held.values())

    def set(self, purpose: Purpose, size: int) -> None:
        """Replace the number of bytes that are held for a purpose.

        :param purpose: the purpose.
        :param size: number of bytes.
        """
        former = self._held.get(purpose, 0)
        if size != former:
            self._held[purpose] = size
            self.process.add(purpose, size - former)

    def add(self, purpose: Purpose, size: int) -> None:
        """Count bytes that are held from now on.

        :param purpose: what they are for.
        :param size: number of bytes; negative if they are released.
        """
        self.set(purpose, self._held.get(purpose, 0) + size)

    def add_answer_bytes(self, size: int) -> None:
        """Count bytes of an answer that waits for its turn.

        :param size: number of bytes; negative if they are released.
        """
        self.add(Purpose.waiting_answers, size)
        if size < 0:
            self._released.set()

    def has_room_for_first(self, held: int) -> bool:
        """Tell whether more of the first answer may be read before it is sent.

        The answers behind it do not count: it would be begun before it is
        whole, and could take them along.

        :param held: bytes of this answer that are held.
        """
        bound = self.process.limits.connection_bytes
        return held < bound and self.process.has_room

    async def wait_for_room(self) -> None:
        """Wait until more of an answer may be read before its turn."""
        bound = self.process.limits.connection_bytes
        while self._held.get(Purpose.waiting_answers, 0) >= bound:
            self._released.clear()
            await self._released.wait()
        await self.process.wait_for_room()
