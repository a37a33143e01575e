"""One request on a connection and its answer."""

import asyncio
import collections
import re
from collections.abc import AsyncIterator, Callable
from typing import Protocol

import httpx
import msgspec

Headers = list[tuple[bytes, bytes]]

#: Reading from the socket pauses above this many undelivered body bytes.
HIGH_WATER_BYTES = 128 * 1024

_UNSAFE = re.compile(rb'[\x00-\x20\x7f]')
_UNSAFE_VALUE = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')

Listener = Callable[['Exchange'], None]


class ExchangeConnection(Protocol):
    """What an exchange uses of its connection."""

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
        """Write the body of a request with bounded memory.

        :param exchange: the request.
        :param body: the bytes.
        :param chunked: whether to frame them as chunks.
        """

    def resume_reading(self, buffered: int) -> None:
        """Read on when the buffer has been drained enough.

        :param buffered: bytes still in the buffer.
        """


class RequestHead(msgspec.Struct, frozen=True):
    """The first lines of a request, as they go onto the wire."""

    method: bytes
    target: bytes
    headers: Headers

    def encode(self) -> bytes:
        """Return the head as bytes; raise when it would split the request."""
        parts = [b'%b %b HTTP/1.1\r\n' % (self.method, self.target)]
        if _UNSAFE.search(self.method) or _UNSAFE.search(self.target):
            raise httpx.LocalProtocolError('control character in the request')
        for name, text in self.headers:
            if _UNSAFE.search(name) or _UNSAFE_VALUE.search(text):
                raise httpx.LocalProtocolError('control character in a header')
            parts.append(b'%b: %b\r\n' % (name, text))
        parts.append(b'\r\n')
        return b''.join(parts)


class Exchange:
    """One request and its answer.

    :param head: the first lines of the request.
    :param on_done: called once, when the answer is complete or has failed.
    :param echo: a header that the answer repeats, and its text. An answer
        with another text belongs to an earlier request and is skipped.
    """

    def __init__(
        self,
        head: RequestHead,
        on_done: Listener,
        echo: tuple[bytes, bytes] | None = None,
    ) -> None:
        self.head = head
        self.echo = echo
        self.status = 0
        self.headers: Headers = []
        self.sent = False
        self.complete = False
        self.error: Exception | None = None
        self.upload_complete = False
        #: Reading pauses above this many undelivered body bytes.
        self.high_water_bytes = HIGH_WATER_BYTES
        self.uploader: asyncio.Task[None] | None = None
        self.timer: asyncio.TimerHandle | None = None
        self.conn: ExchangeConnection | None = None
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._wake: asyncio.Future[None] | None = None
        self._head_seen = False
        self._on_done = on_done

    @property
    def ended(self) -> bool:
        """Whether nothing more arrives."""
        return self.complete or self.error is not None

    def is_answer(self) -> bool:
        """Tell whether the headers so far are those of its answer."""
        if self.echo is None:
            return True
        name, text = self.echo
        return dict(self.headers).get(name, text) == text

    def head_arrived(self) -> None:
        """Note that status and headers are known."""
        self._head_seen = True
        self._notify()

    def feed(self, chunk: bytes) -> bool:
        """Add body bytes.

        :param chunk: the bytes.
        :returns: whether the buffer is full.
        """
        self._chunks.append(chunk)
        self._buffered += len(chunk)
        self._notify()
        return self._buffered > self.high_water_bytes

    def finish(self, error: Exception | None = None) -> None:
        """End the exchange; further calls do nothing.

        :param error: why it failed, or None if the answer is complete.
        """
        if self.ended:
            return
        self.complete = error is None
        self.error = error
        if self.uploader is not None:
            self.uploader.cancel()
        if self.timer is not None:
            self.timer.cancel()
        self._notify()
        self._on_done(self)

    def abort(self, error: Exception) -> None:
        """Fail the exchange and close its connection.

        :param error: why.
        """
        if self.ended:
            return
        self.finish(error)
        if self.conn is not None:
            self.conn.abort()

    async def wait_for_head(self) -> None:
        """Wait for status and headers, or raise the error."""
        while not self._head_seen:
            if self.error is not None:
                raise self.error
            await self._wait()

    async def read(self) -> bytes:
        """Return the next body bytes; empty at the end of a whole body."""
        while not self._chunks:
            if self.error is not None:
                raise self.error
            if self.complete:
                return b''
            await self._wait()
        chunk = self._chunks.popleft()
        self._buffered -= len(chunk)
        if not self.ended and self.conn is not None:
            self.conn.resume_reading(self._buffered)
        return chunk

    async def _wait(self) -> None:
        self._wake = asyncio.get_running_loop().create_future()
        try:
            await self._wake
        finally:
            self._wake = None

    def _notify(self) -> None:
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)
