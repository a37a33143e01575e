"""One HTTP/1.1 client connection that carries one exchange at a time."""

import asyncio
import select
from collections.abc import AsyncIterator, Callable
from typing import Any, cast

import httptools
import httpx

from .exchange import Exchange

#: Unsent request bytes above which the transport pauses the upload.
WRITE_WATER_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024


_NO_BODY_STATUS = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
_LAST_STATUS = 599


class ClientConnection(asyncio.Protocol):
    """A TCP connection to one server.

    :param on_lost: called once, when the connection is closed.
    """

    def __init__(self, on_lost: Callable[['ClientConnection'], None]) -> None:
        self.idle_since: float = 0
        self.closed_idle = False
        self._aborted = False
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._parser: Any = None
        self._exchange: Exchange | None = None
        self._until_eof = False
        self._whole = False
        self._skipping = False
        self._head_bytes = 0
        self._reading = True
        self._closed = False
        self._reusable = True
        self._can_write = asyncio.Event()
        self._can_write.set()

    @property
    def opened(self) -> bool:
        """Whether the connection was established at any time."""
        return self._transport is not None

    @property
    def usable(self) -> bool:
        """Whether a new exchange may be started."""
        return (
            self._reusable
            and not self._closed
            and self._exchange is None
            and not _readable(self._sock())
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport.

        :param transport: the transport of the connection.
        """
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_WATER_BYTES)

    def start(self, exchange: Exchange) -> None:
        """Write the head of a request.

        :param exchange: the request; the connection must be usable.
        """
        encoded = exchange.head.encode()
        self._exchange = exchange
        self._until_eof = False
        self._whole = False
        self._head_bytes = 0
        self._parser = httptools.HttpResponseParser(self)
        exchange.conn = self
        exchange.sent = True
        self._wire().write(encoded)

    async def upload(
        self,
        exchange: Exchange,
        body: AsyncIterator[bytes],
        chunked: bool,
    ) -> None:
        """Write the body of a request with bounded memory.

        :param exchange: the request.
        :param body: the bytes.
        :param chunked: whether to frame them as chunks.
        """
        wire = self._wire()
        async for chunk in body:
            await self._can_write.wait()
            if exchange.ended:
                return
            if chunked and chunk:
                wire.writelines((b'%x\r\n' % len(chunk), chunk, b'\r\n'))
            elif chunk:
                wire.write(chunk)
        if not exchange.ended:
            if chunked:
                wire.write(b'0\r\n\r\n')
            exchange.upload_complete = True

    def abort(self) -> None:
        """Close the connection at once."""
        self._reusable = False
        self._aborted = True
        if self._transport is not None:
            self._transport.abort()

    def pause_writing(self) -> None:
        """Hold the upload back while the server does not read."""
        self._can_write.clear()

    def resume_writing(self) -> None:
        """Let the upload go on."""
        self._can_write.set()

    def resume_reading(self, buffered: int) -> None:
        """Read on when the buffer has been drained enough.

        :param buffered: bytes still in the buffer.
        """
        exchange = self._exchange
        if exchange is None or self._reading:
            return
        if buffered <= exchange.high_water_bytes // 2:
            self._reading = True
            self._wire().resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer.

        :param data: the bytes.
        """
        exchange = self._exchange
        if exchange is None or exchange.ended:
            # Bytes that belong to no request must not reach the next one.
            self.abort()
            return
        if not exchange.status:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            exchange.abort(httpx.RemoteProtocolError(f'malformed: {exc}'))
            return
        if not exchange.status and self._head_bytes > MAX_HEAD_BYTES:
            exchange.abort(httpx.RemoteProtocolError('head is too large'))
        elif self._whole:
            # The connection is free before the end is reported, so that the
            # next request can have it at once.
            self._free(exchange)
            exchange.finish()

    def eof_received(self) -> None:
        """End a body that is delimited by the close of the connection."""
        self._reusable = False
        if self._exchange is not None and self._until_eof:
            self._exchange.finish()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the running exchange.

        :param exc: the error, if there was one.
        """
        self._closed = True
        self.closed_idle = self._exchange is None and not self._aborted
        self._can_write.set()
        if self._exchange is not None:
            self._exchange.finish(
                httpx.RemoteProtocolError(
                    f'connection lost before the end of the answer: {exc}'
                )
            )
            self._exchange = None
        self._on_lost(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header from the parser.

        :param name: its name.
        :param value: its text.
        """
        if self._exchange is not None and not self._exchange.status:
            self._exchange.headers.append((name.lower(), value.rstrip(b' \t')))

    def on_headers_complete(self) -> None:
        """Take the end of the head from the parser."""
        exchange = self._exchange
        if exchange is None or self._whole:
            return
        status = int(self._parser.get_status_code())
        if status < _FIRST_FINAL_STATUS:
            exchange.headers.clear()
            return
        if status > _LAST_STATUS:
            exchange.abort(httpx.RemoteProtocolError(f'status {status}'))
            return
        if not exchange.is_answer():
            self._skipping = True
            exchange.headers.clear()
            return
        exchange.status = status
        named = dict(exchange.headers)
        chunked = b'chunked' in named.get(b'transfer-encoding', b'').lower()
        self._until_eof = not chunked and b'content-length' not in named
        token = named.get(b'connection', b'').lower()
        if b'close' in token or self._parser.get_http_version() != '1.1':
            self._reusable = False
        exchange.head_arrived()
        if status in _NO_BODY_STATUS or exchange.head.method == b'HEAD':
            self._until_eof = False
            self._whole = True

    def on_body(self, body: bytes) -> None:
        """Take body bytes from the parser.

        :param body: the bytes.
        """
        exchange = self._exchange
        if self._skipping:
            return
        if exchange is None or self._whole:
            self._reusable = False
        elif exchange.feed(body) and self._reading:
            self._reading = False
            self._wire().pause_reading()

    def on_message_begin(self) -> None:
        """Notice an answer that follows a complete one."""
        if self._whole:
            self._reusable = False

    def on_message_complete(self) -> None:
        """Take the end of the answer from the parser."""
        if self._skipping:
            self._skipping = False
            self._head_bytes = 0
        elif self._exchange is not None and self._exchange.status:
            self._whole = True

    def _free(self, exchange: Exchange) -> None:
        self._exchange = None
        if not self._reading:
            self._reading = True
            self._wire().resume_reading()
        if not self._reusable or not exchange.upload_complete:
            self.abort()

    def _sock(self) -> int:
        return int(self._wire().get_extra_info('socket').fileno())

    def _wire(self) -> asyncio.Transport:
        if self._transport is None:
            raise RuntimeError('the connection is not open')
        return self._transport


def _readable(fileno: int) -> bool:
    # An idle connection is readable only if the server has closed it or sent
    # bytes that belong to no request; neither is fit for a new request.
    if fileno < 0:
        return True
    poller = select.poll()
    poller.register(fileno, select.POLLIN | select.POLLERR | select.POLLHUP)
    return bool(poller.poll(0))
