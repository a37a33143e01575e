"""An HTTP/1.1 client connection that carries one exchange at a time.

Requests are not pipelined. A connection is used again only if the last
request and its answer were complete and no other bytes arrived, so that one
caller never gets the answer to another one's request.
"""

import asyncio
import select
from collections.abc import AsyncIterator, Callable
from typing import Any, cast

import httptools

from .answer_head import HEAD_END, find_head_fault
from .chunk_budget import ChunkBudget
from .exceptions import ConnectionLostError, RemoteProtocolError
from .exchange import AnswerOwner, Exchange

#: The upload of a request body pauses above this many unsent bytes.
WRITE_HIGH_WATER_BYTES = 64 * 1024
#: An answer whose head is larger fails.
MAX_ANSWER_HEAD_BYTES = 64 * 1024
#: An answer whose head has more fields fails: fields of a few bytes take many
#: times their size in memory.
MAX_ANSWER_FIELDS = 256
#: Bytes that one read takes; other connections get their turn after it.
READ_BYTES = 32 * 1024
#: The same on a connection whose last read used up the budget of small chunks.
SLOW_READ_BYTES = 4 * 1024
#: An answer with more bytes in a row that belong to no body fails, such as a
#: chunk extension or a trailer without end.
MAX_FRAMING_BYTES = 64 * 1024

STATUSES_WITHOUT_BODY = frozenset((204, 304))
_FIRST_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS_STATUS = 101


class ClientConnection(asyncio.BufferedProtocol):
    """A TCP connection to one server.

    :param on_close: called once, when an established connection is closed.
    :param budget: shared by the connections of a process; by default one of
        its own.
    """

    def __init__(
        self,
        on_close: Callable[['ClientConnection'], None],
        budget: ChunkBudget | None = None,
    ) -> None:
        self.idle_since: float = 0
        self.closed_while_idle = False
        self._aborted = False
        self._on_close = on_close
        self._transport: asyncio.Transport | None = None
        # Parses one answer; the next one gets a parser of its own.
        self._parser: Any = None
        # The head that is being read.
        self._head = bytearray()
        self._head_evaluated = False
        self._exchange: Exchange | None = None
        self._body_ends_at_eof = False
        self._answer_complete = False
        self._skipping_answer = False
        # Bytes left of the body that is skipped; None if its length is
        # unknown.
        self._skipped_bytes: int | None = None
        self._head_bytes = 0
        self._framing_bytes = 0
        #: Pieces of the body that the present read has brought.
        self._body_pieces: list[bytes] = []
        self._budget = budget or ChunkBudget()
        self._read_buffer = bytearray()
        self._read_bytes = READ_BYTES
        self._reading = True
        self._buffer_full = False
        self._pause: asyncio.TimerHandle | None = None
        self._closed = False
        self._reusable = True
        self._writable = asyncio.Event()
        self._writable.set()

    @property
    def was_established(self) -> bool:
        """Whether the connection was established at any time."""
        return self._transport is not None

    @property
    def usable(self) -> bool:
        """Whether a new exchange may be started."""
        return (
            self._reusable
            and not self._closed
            and self._exchange is None
            and not _is_readable(self._fileno())
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the limit of unsent bytes on the new connection.

        :param transport: the transport of the connection.
        """
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)

    def start(self, exchange: Exchange) -> None:
        """Start an exchange and write the head of its request.

        :param exchange: the exchange; the connection must be usable.
        """
        encoded = exchange.head.encode()
        self._exchange = exchange
        self._body_ends_at_eof = False
        self._answer_complete = False
        self._skipping_answer = False
        self._head_bytes = 0
        self._framing_bytes = 0
        self._begin_head()
        exchange.conn = self
        exchange.sent = True
        self._require_transport().write(encoded)

    async def upload(
        self,
        exchange: Exchange,
        body: AsyncIterator[bytes],
        chunked: bool,
    ) -> None:
        """Write the body of a request, pausing while the socket is full.

        :param exchange: the exchange of the request.
        :param body: chunks of the body.
        :param chunked: whether to use the chunked transfer coding.
        """
        transport = self._require_transport()
        async for chunk in body:
            await self._writable.wait()
            if exchange.ended:
                return
            if chunked and chunk:
                transport.writelines((b'%x\r\n' % len(chunk), chunk, b'\r\n'))
            elif chunk:
                transport.write(chunk)
        if not exchange.ended:
            if chunked:
                transport.write(b'0\r\n\r\n')
            exchange.upload_complete = True

    def abort(self) -> None:
        """Close the connection at once."""
        self._reusable = False
        self._aborted = True
        if self._transport is not None:
            self._transport.abort()

    def pause_writing(self) -> None:
        """Pause the upload: too many bytes are unsent."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resume the upload."""
        self._writable.set()

    def resume_reading(self, buffered: int) -> None:
        """Resume reading from the socket once the buffer is low enough.

        :param buffered: unread body bytes in the buffer.
        """
        exchange = self._exchange
        if exchange is None or not self._buffer_full:
            return
        if buffered <= exchange.high_water_bytes // 2:
            self._buffer_full = False
            self._update_reading()

    def get_buffer(self, _sizehint: int) -> bytearray:
        """Return the buffer for the next bytes."""
        self._read_buffer = bytearray(self._read_bytes)
        return self._read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes that were read into the buffer.

        :param nbytes: their number.
        """
        received = bytes(memoryview(self._read_buffer)[:nbytes])
        self._read_buffer = bytearray()
        self.data_received(received)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of an answer.

        :param data: the bytes.
        """
        exchange = self._exchange
        if exchange is None or exchange.ended:
            # The bytes answer no running request; the connection is closed
            # so that they are not read as the answer to the next one.
            self.abort()
            return
        if not exchange.status:
            self._head_bytes += len(data)
        self._framing_bytes += len(data)
        fault = self._parse(exchange, data)
        self._pass_body_on(exchange)
        if fault and not self._answer_complete:
            exchange.abort(RemoteProtocolError(fault))
            return
        if not exchange.status and self._head_bytes > MAX_ANSWER_HEAD_BYTES:
            exchange.abort(
                RemoteProtocolError('head of the answer is too large')
            )
        elif self._answer_complete:
            # The connection is released before the end is reported, so that
            # the next request can use it at once.
            self._release(exchange)
            exchange.finish()
        elif self._framing_bytes > MAX_FRAMING_BYTES:
            exchange.abort(
                RemoteProtocolError('framing of the answer is too large')
            )

    def eof_received(self) -> None:
        """Complete an answer whose body ends where the connection closes."""
        self._reusable = False
        if self._exchange is not None and self._body_ends_at_eof:
            self._exchange.finish()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the running exchange.

        :param exc: the error, if there was one.
        """
        self._closed = True
        self._end_pause()
        self.closed_while_idle = self._exchange is None and not self._aborted
        self._writable.set()
        if self._exchange is not None:
            self._exchange.finish(
                ConnectionLostError(
                    f'connection lost before the end of the answer: {exc}'
                )
            )
            self._exchange = None
        self._on_close(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header (callback of the parser).

        :param name: name of the header.
        :param value: value of the header.
        """
        if self._skipping_answer:
            # This is a trailer.
            return
        exchange = self._exchange
        if exchange is None or exchange.status or exchange.ended:
            return
        if len(exchange.headers) >= MAX_ANSWER_FIELDS:
            exchange.headers.clear()
            exchange.abort(
                RemoteProtocolError('head of the answer has too many fields')
            )
            return
        exchange.headers.append((name.lower(), value.rstrip(b' \t')))

    def on_headers_complete(self) -> None:
        """Evaluate the head of an answer (callback of the parser).

        Interim answers (1xx) and answers to an earlier request are skipped.
        """
        exchange = self._exchange
        if exchange is None or self._answer_complete:
            return
        self._head_evaluated = True
        status = int(self._parser.get_status_code())
        fault = find_head_fault(
            bytes(self._head),
            status,
            exchange.headers,
            exchange.echo.text if exchange.echo else b'',
        )
        if fault:
            exchange.abort(RemoteProtocolError(fault))
            return
        if status < _FIRST_FINAL_STATUS:
            self._skip_interim(exchange, status)
            return
        owner = exchange.find_owner()
        if owner is AnswerOwner.unknown:
            exchange.abort(
                RemoteProtocolError('the answer does not name one request')
            )
            return
        if owner is AnswerOwner.other:
            self._begin_skipping(exchange)
            return
        exchange.status = status
        self._note_framing(exchange)
        exchange.mark_head_received()
        if status in STATUSES_WITHOUT_BODY or exchange.head.method == b'HEAD':
            self._body_ends_at_eof = False
            self._answer_complete = True

    def on_body(self, body: bytes) -> None:
        """Pass body bytes to the exchange (callback of the parser).

        :param body: the bytes.
        """
        exchange = self._exchange
        if self._skipping_answer:
            return
        self._framing_bytes = 0
        if exchange is None or self._answer_complete:
            self._reusable = False
        else:
            self._body_pieces.append(body)

    def on_message_begin(self) -> None:
        """Bar reuse after a second answer (callback of the parser)."""
        if self._answer_complete:
            self._reusable = False

    def on_message_complete(self) -> None:
        """Mark the answer as complete (callback of the parser)."""
        if self._skipping_answer:
            self._skipping_answer = False
            self._head_bytes = 0
        elif self._exchange is not None and self._exchange.status:
            self._answer_complete = True

    def _pass_body_on(self, exchange: Exchange) -> None:
        """Pass the pieces of the body to the reader as one.

        If there were many, the connection pauses as the budget says.
        """
        pieces = self._body_pieces
        if not pieces:
            return
        self._body_pieces = []
        if exchange.feed(b''.join(pieces)):
            self._buffer_full = True
        pause_s = self._budget.spend(len(pieces))
        self._read_bytes = SLOW_READ_BYTES if pause_s else READ_BYTES
        if pause_s:
            self._end_pause()
            loop = asyncio.get_running_loop()
            self._pause = loop.call_later(pause_s, self._resume)
        self._update_reading()

    def _resume(self) -> None:
        """Read on after a pause."""
        self._end_pause()
        self._update_reading()

    def _end_pause(self) -> None:
        if self._pause is not None:
            self._pause.cancel()
            self._pause = None

    def _update_reading(self) -> None:
        """Read only while there is room and no pause."""
        reading = not self._buffer_full and self._pause is None
        if reading == self._reading:
            return
        self._reading = reading
        if reading:
            self._require_transport().resume_reading()
        else:
            self._require_transport().pause_reading()

    def _begin_head(self) -> None:
        self._head.clear()
        self._head_evaluated = False
        self._parser = httptools.HttpResponseParser(self)

    def _parse(self, exchange: Exchange, data: bytes) -> str:
        """Parse received bytes; return why they are no answer, if so."""
        try:
            self._parse_answers(exchange, data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            # Bytes after a complete answer do not belong to it.
            self._reusable = False
            return f'malformed answer: {exc}'
        return ''

    def _parse_answers(self, exchange: Exchange, data: bytes) -> None:
        """Parse the answers before the one that is due apart from each other.

        Each head ends a piece that the parser gets, so that the bytes of the
        next one are known.
        """
        rest = data
        while rest and not exchange.status and not exchange.ended:
            if self._skipping_answer:
                rest = self._skip(rest)
            else:
                rest = self._parse_head(exchange, rest)
        if rest and not exchange.ended:
            self._parser.feed_data(rest)

    def _parse_head(self, exchange: Exchange, data: bytes) -> bytes:
        """Parse bytes of a head and return those behind it."""
        tail = bytes(self._head[1 - len(HEAD_END) :])
        end = (tail + data).find(HEAD_END)
        size = len(data) if end < 0 else end + len(HEAD_END) - len(tail)
        self._head += data[:size]
        self._parser.feed_data(data[:size])
        if end >= 0 and not exchange.status and not exchange.ended:
            self._end_head(exchange)
        return data[size:]

    def _end_head(self, exchange: Exchange) -> None:
        """Go on behind the head of an answer that is not the one due."""
        if not self._head_evaluated:
            exchange.abort(RemoteProtocolError('empty lines before an answer'))
        elif not self._skipping_answer:
            self._begin_head()

    def _skip_interim(self, exchange: Exchange, status: int) -> None:
        if status == _SWITCHING_PROTOCOLS_STATUS:
            exchange.abort(RemoteProtocolError('no other protocol was asked'))
        exchange.headers.clear()

    def _begin_skipping(self, exchange: Exchange) -> None:
        length = dict(exchange.headers).get(b'content-length')
        self._skipped_bytes = None if length is None else int(length)
        self._skipping_answer = True
        # A server that is out of step may be so again.
        self._reusable = False
        exchange.mark_behind_other()
        exchange.headers.clear()

    def _skip(self, data: bytes) -> bytes:
        """Parse bytes of a body that is skipped and return those behind it.

        The end of a line ends each piece that the parser gets, since a body
        in chunks ends with a line.
        """
        start = 0
        while self._skipping_answer and start < len(data):
            end = len(data)
            if self._skipped_bytes is not None:
                end = min(end, start + self._skipped_bytes)
                self._skipped_bytes -= end - start
            else:
                end = data.find(b'\n', start) + 1 or end
            self._parser.feed_data(data[start:end])
            start = end
        if not self._skipping_answer:
            self._begin_head()
        return data[start:]

    def _note_framing(self, exchange: Exchange) -> None:
        """Note where the body ends, and whether the connection can be kept."""
        header_values = dict(exchange.headers)
        self._body_ends_at_eof = not (
            b'transfer-encoding' in header_values
            or b'content-length' in header_values
        )
        connection_options = header_values.get(b'connection', b'').lower()
        if (
            b'close' in connection_options
            or self._parser.get_http_version() != '1.1'
        ):
            self._reusable = False

    def _release(self, exchange: Exchange) -> None:
        self._exchange = None
        self._buffer_full = False
        self._end_pause()
        self._update_reading()
        if not self._reusable or not exchange.upload_complete:
            self.abort()

    def _fileno(self) -> int:
        return int(self._require_transport().get_extra_info('socket').fileno())

    def _require_transport(self) -> asyncio.Transport:
        if self._transport is None:
            raise RuntimeError('the connection is not established')
        return self._transport


def _is_readable(fileno: int) -> bool:
    # An idle connection is readable only if the server has closed it or sent
    # bytes that answer no request; it can't carry a request in either case.
    if fileno < 0:
        return True
    poller = select.poll()
    poller.register(fileno, select.POLLIN | select.POLLERR | select.POLLHUP)
    return bool(poller.poll(0))
