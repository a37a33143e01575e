"""Bodies of callers' requests."""

from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

Receive = Callable[[], Awaitable[Any]]

#: Bytes of a body that are kept for a further attempt.
KEPT_BYTES = 256 * 1024


class CallerGone(Exception):
    """The caller closed its connection before the request was whole."""


class BodyTooLarge(Exception):
    """The body is longer than callers may send."""


class RequestBody:
    """The body of a request; a small one can be sent more than once.

    :param receive: reads from the caller.
    :param limit: longest body, in bytes.
    """

    def __init__(self, receive: Receive, limit: int) -> None:
        self._receive = receive
        self._limit = limit
        self._kept = bytearray()
        self._whole = False
        self._streamed = False
        self.size = 0

    @property
    def repeatable(self) -> bool:
        """Whether it can be sent again."""
        return not self._streamed

    async def read_start(self) -> None:
        """Read as much as is kept.

        Raise :class:`CallerGone` or :class:`BodyTooLarge`.
        """
        while not self._whole and len(self._kept) < KEPT_BYTES:
            self._kept += await self._next()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the whole body; raise :class:`CallerGone`."""
        if self._kept:
            yield bytes(self._kept)
        while not self._whole:
            self._streamed = True
            yield await self._next()

    async def _next(self) -> bytes:
        event = await self._receive()
        if event['type'] != 'http.request':
            raise CallerGone
        self._whole = not event.get('more_body', False)
        chunk: bytes = event.get('body', b'')
        self.size += len(chunk)
        if self.size > self._limit:
            raise BodyTooLarge
        return chunk
