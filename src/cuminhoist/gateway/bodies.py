"""Reads the bodies of callers' requests and buffers small ones for retries."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

Receive = Callable[[], Awaitable[Any]]

#: Body bytes that are buffered for a retry.
RETRY_BUFFER_BYTES = 256 * 1024


class CallerDisconnected(Exception):
    """The caller closed its connection before the request was complete."""


class BodyTooLarge(Exception):
    """The body is longer than callers may send."""


class RequestBody:
    """The body of a request; a buffered one can be sent more than once.

    :param receive: reads from the caller.
    :param limit_bytes: longest body, in bytes.
    """

    def __init__(self, receive: Receive, limit_bytes: int) -> None:
        self._receive = receive
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()
        self._complete = False
        self._streamed = False
        self.size = 0

    @property
    def can_resend(self) -> bool:
        """Whether the body can be sent to another target."""
        return not self._streamed

    @property
    def buffered_start(self) -> bytes:
        """The first bytes of the body, at most ``RETRY_BUFFER_BYTES``."""
        return bytes(self._buffer[:RETRY_BUFFER_BYTES])

    async def fill_buffer(self, declared_bytes: int = 0) -> None:
        """Read until the buffer is full or the body ends.

        Raises :class:`CallerDisconnected` or :class:`BodyTooLarge`.

        :param declared_bytes: length that the caller declared, in bytes; 0
            if it is unknown.
        """
        if declared_bytes > self._limit_bytes:
            raise BodyTooLarge
        while not self._complete and len(self._buffer) < RETRY_BUFFER_BYTES:
            self._buffer += await self._receive_chunk()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the whole body: the buffer, then what the caller still sends.

        Raises :class:`CallerDisconnected` or :class:`BodyTooLarge`.
        """
        if self._buffer:
            yield bytes(self._buffer)
        while not self._complete:
            self._streamed = True
            yield await self._receive_chunk()

    async def _receive_chunk(self) -> bytes:
        event = await self._receive()
        if event['type'] != 'http.request':
            raise CallerDisconnected
        self._complete = not event.get('more_body', False)
        chunk: bytes = event.get('body', b'')
        self.size += len(chunk)
        if self.size > self._limit_bytes:
            raise BodyTooLarge
        return chunk
