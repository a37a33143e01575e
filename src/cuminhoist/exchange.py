"""State of one HTTP request on a client connection and of its answer.

The connection feeds the answer in; the reader waits for the head and then
reads the body in chunks. Body bytes that have not been read are limited:
above a high-water mark the connection stops reading from its socket.
"""

import asyncio
import collections
import enum
import re
from collections.abc import AsyncIterator, Callable
from typing import Protocol

import msgspec

from .exceptions import LocalProtocolError

Headers = list[tuple[bytes, bytes]]

#: The connection stops reading from its socket above this many body bytes
#: that the reader has not taken yet.
HIGH_WATER_BYTES = 128 * 1024

# Characters that could end the request line or a header early, so that the
# server would read a second request (request smuggling).
_UNSAFE_TOKEN = re.compile(rb'[\x00-\x20\x7f]')
_UNSAFE_VALUE = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')

OnExchangeEnd = Callable[['Exchange'], None]


class ExchangeConnection(Protocol):
    """The methods of a connection that an exchange calls."""

    @property
    def usable(self) -> bool:
        """Whether a new exchange may be started."""

    def abort(self) -> None:
        """Close the connection at once."""

    async def upload(
        self,
        exchange: 'Exchange',
        body: AsyncIterator[bytes],
        chunked: bool,
    ) -> None:
        """Write the body of a request, pausing while the socket is full.

        :param exchange: the request.
        :param body: chunks of the body.
        :param chunked: whether to use the chunked transfer coding.
        """

    def resume_reading(self, buffered: int) -> None:
        """Resume reading from the socket once the buffer is low enough.

        :param buffered: unread body bytes in the buffer.
        """


class RequestHead(msgspec.Struct, frozen=True):
    """Request line and headers of a request as they are sent."""

    method: bytes
    target: bytes
    headers: Headers

    def encode(self) -> bytes:
        """Return the head as bytes.

        :raises LocalProtocolError: if a control character or space
            would let the server read a second request.
        """
        parts = [b'%b %b HTTP/1.1\r\n' % (self.method, self.target)]
        if _UNSAFE_TOKEN.search(self.method) or _UNSAFE_TOKEN.search(
            self.target
        ):
            raise LocalProtocolError(
                'control character or space in the request line'
            )
        for name, value in self.headers:
            if _UNSAFE_TOKEN.search(name) or _UNSAFE_VALUE.search(value):
                raise LocalProtocolError('control character in a header')
            parts.append(b'%b: %b\r\n' % (name, value))
        parts.append(b'\r\n')
        return b''.join(parts)


class Echo(msgspec.Struct, frozen=True):
    """A header of a request that the server repeats in its answer.

    :param name: its name, in lower case.
    :param text: its text, which identifies the request.
    :param required: whether each answer has it; an answer without it is
        taken for that to the present request otherwise.
    """

    name: bytes
    text: bytes
    required: bool = True


class AnswerOwner(enum.Enum):
    """The request that an answer belongs to.

    It is unknown if the answer names no request, or more than one.
    """

    own = enum.auto()
    other = enum.auto()
    unknown = enum.auto()


class Exchange:
    """One request and its answer.

    :param head: request line and headers.
    :param on_end: called once, when the answer is complete or has failed.
    :param echo: header that the server repeats in its answer. An answer with
        another text belongs to an earlier request and is skipped.
    """

    def __init__(
        self,
        head: RequestHead,
        on_end: OnExchangeEnd,
        echo: Echo | None = None,
    ) -> None:
        self.head = head
        self.echo = echo
        self.status = 0
        self.headers: Headers = []
        self.sent = False
        self.complete = False
        self.error: Exception | None = None
        self.upload_complete = False
        #: The connection stops reading above this many unread body bytes.
        self.high_water_bytes = HIGH_WATER_BYTES
        #: Called with the change of the unread body bytes.
        self.on_buffered: Callable[[int], None] = _ignore_bytes
        #: Called once, when the whole answer has arrived.
        self.on_complete: Callable[[], None] = _ignore_end
        self.uploader: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.conn: ExchangeConnection | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._waiter: asyncio.Future[None] | None = None
        self._head_received = False
        self._is_behind_other = False
        self._on_end = on_end

    @property
    def ended(self) -> bool:
        """Whether the answer is complete or the exchange has failed."""
        return self.complete or self.error is not None

    @property
    def head_received(self) -> bool:
        """Whether status and headers of the answer have arrived."""
        return self._head_received

    @property
    def is_behind_other(self) -> bool:
        """Whether an answer to another request arrived first."""
        return self._is_behind_other

    @property
    def buffered(self) -> int:
        """Body bytes that have not been read."""
        return self._buffered

    @property
    def has_news(self) -> bool:
        """Whether :meth:`read` returns or fails without waiting."""
        return self.ended or bool(self._chunks)

    def find_owner(self) -> AnswerOwner:
        """Return whose answer the headers received belong to."""
        echo = self.echo
        if echo is None:
            return AnswerOwner.own
        ids = [text for name, text in self.headers if name == echo.name]
        if not ids and not echo.required:
            return AnswerOwner.own
        if len(ids) != 1:
            return AnswerOwner.unknown
        return AnswerOwner.own if ids[0] == echo.text else AnswerOwner.other

    def mark_behind_other(self) -> None:
        """Note that an answer to another request arrived first."""
        self._is_behind_other = True

    def mark_head_received(self) -> None:
        """Wake the reader that waits for status and headers."""
        self._head_received = True
        self._wake_waiter()

    def feed(self, chunk: bytes) -> bool:
        """Add received body bytes to the buffer.

        :param chunk: the bytes.
        :returns: whether the buffer is above the high-water mark.
        """
        self._chunks.append(chunk)
        self._buffered += len(chunk)
        self.on_buffered(len(chunk))
        self._wake_waiter()
        return self._buffered > self.high_water_bytes

    def finish(self, error: Exception | None = None) -> None:
        """End the exchange; further calls do nothing.

        :param error: cause of the failure; None if the answer is complete.
        """
        if self.ended:
            return
        self.complete = error is None
        self.error = error
        if self.uploader is not None:
            self.uploader.cancel()
        if self.timer is not None:
            self.timer.cancel()
        self._wake_waiter()
        self._on_end(self)
        if self.complete:
            self.on_complete()

    def abort(self, error: Exception) -> None:
        """Fail the exchange and close its connection.

        :param error: cause of the failure.
        """
        if self.ended:
            return
        self.finish(error)
        if self.conn is not None:
            self.conn.abort()

    async def wait_for_head(self) -> None:
        """Wait for status and headers; raise the error of a failed exchange."""
        while not self._head_received:
            if self.error is not None:
                raise self.error
            await self._wait_for_data()

    async def read(self) -> bytes:
        """Return the next body bytes; empty at the end of a complete body."""
        while not self._chunks:
            if self.error is not None:
                raise self.error
            if self.complete:
                return b''
            await self._wait_for_data()
        chunk = self._chunks.popleft()
        self._buffered -= len(chunk)
        self.on_buffered(-len(chunk))
        if not self.ended and self.conn is not None:
            self.conn.resume_reading(self._buffered)
        return chunk

    async def _wait_for_data(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiter = waiter
        try:
            await waiter
        finally:
            # Another reader may already wait when one that is cancelled ends.
            if self._waiter is waiter:
                self._waiter = None

    def _wake_waiter(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _ignore_bytes(_change: int) -> None:
    """Count nothing: the bytes are not held for a caller."""


def _ignore_end() -> None:
    """Do nothing: nobody waits for the end of the answer."""
