"""A caller's connection, built on the HTTP protocol of uvicorn.

It limits the size of request heads, tells the application when the caller
disconnects, and refuses malformed requests with problem details.
"""

import asyncio
import math
import sys
from collections.abc import Collection
from typing import Any, cast

import httptools
from uvicorn.protocols.http.httptools_impl import (
    HttpToolsProtocol,
    RequestResponseCycle,
)

from .caller_round_trip import round_trip_s
from .connection_limit import (
    LimitedConnection,
    Occupation,
    Place,
    make_room,
)
from .head_counter import HeadCounter
from .head_fields import HeadFields
from .listener_limits import ListenerLimits
from .listener_refusals import (
    encode_refusal,
    head_timed_out,
    head_too_large,
    malformed,
    memory_exhausted,
    note_closed,
    record_refusal,
)
from .logging_setup import logger
from .parsing_pace import SLICE_BYTES
from .pipelined_connection import PipelinedConnection
from .pipelined_request import PipelinedRequest
from .problems import Refusal
from .request_body_framing import find_framing
from .request_head import find_head_fault
from .request_method import MethodReader
from .request_target import split_target
from .skipped_body import BodyReceiver

MAX_HEADERS = 100
#: No further request is read while the bodies of unanswered ones have more
#: bytes; one read from the socket brings at most as many.
MAX_BODIES_AHEAD_BYTES = 256 * 1024

#: A head that is arriving may have so many bytes although memory is exhausted.
SHORT_HEAD_BYTES = 16 * 1024

#: Idle connections stay open this long after the limit, because a request
#: that was sent within the limit may still be on its way.
IDLE_MARGIN_S = 1.0

_log = logger('listener')


class CallerConnection(PipelinedConnection, LimitedConnection):
    """A caller's connection with size limits, disconnect notice and drain."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        #: Bytes that the parser is reading.
        self._received = b''
        self._head = HeadCounter()
        self._fields = HeadFields()
        self._method = MethodReader()
        self._body = find_framing([])
        #: Loop time at which bytes were received last.
        self._received_at = self.loop.time()
        #: Bytes of empty lines since the last request.
        self._empty_line_bytes = 0
        #: Bytes of trailers of the present request.
        self._trailer_bytes = 0
        #: Why the head that was parsed last is refused.
        self._head_refusal: Refusal | None = None
        #: Loop time since which no request runs or since which a head has
        #: been arriving.
        self._waits_since = self.loop.time()

    @property
    def busy(self) -> bool:
        """Whether a request is running or its head is arriving."""
        return self._running or self._head.begun

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Start to wait for the first request.

        :param transport: the transport of the connection.
        """
        super().connection_made(transport)
        self._start_waiting()
        closed = make_room(
            self,
            cast(Collection[LimitedConnection], self.connections),
            getattr(self.server_state, 'max_connections', math.inf),
        )
        if closed:
            note_closed(closed)

    @property
    def place(self) -> Place:
        """Why and since when the connection is open."""
        last = self._pipeline.last
        if self._head.begun or (last is not None and not last.body_arrived):
            return Place(Occupation.arriving, self._received_at)
        if self._unparsed or len(self._pipeline) > 1:
            return Place(Occupation.ahead, self._received_at)
        if last is not None:
            return Place(Occupation.serving, self._received_at)
        used = self._has_answered
        occupation = Occupation.idle if used else Occupation.unused
        return Place(occupation, self._received_at)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of requests.

        :param data: the bytes.
        """
        self._received_at = self.loop.time()
        waits = self._unparsed or self._pace.is_paused
        if waits and not self._reading_ended:
            self._unparsed += data
        else:
            self._parse(data)
        self._update_reading()

    def _parse(self, data: bytes) -> None:
        while data and not self._reading_ended:
            if self._head.expected and not self._takes_requests:
                self._reading_ended = True
                break
            if self._between_requests:
                data = self._drop_empty_lines(data)
            if self._must_wait:
                self._unparsed = data
                break
            data = self._parse_slice(data)
            if self.transport.is_closing():
                return
        self._pace.end_turn()
        if data and self._reading_ended:
            self._expects_more = True
        if self._head.begun:
            self._start_timer()
        else:
            self._start_waiting()

    @property
    def _must_wait(self) -> bool:
        """Whether the next bytes are not parsed in this turn."""
        return self._pace.turn_is_used or (
            self._between_requests and self._has_read_ahead
        )

    def _drop_empty_lines(self, data: bytes) -> bytes:
        """Return received bytes from the beginning of a request on.

        There are none if the connection is refused.

        :param data: received bytes between two requests.
        """
        rest = data.lstrip(b'\r\n')
        self._empty_line_bytes += len(data) - len(rest)
        if self._empty_line_bytes > self._limits.max_head_bytes:
            self._refuse(malformed('Too many empty lines before a request.'))
            return b''
        if rest:
            self._empty_line_bytes = 0
        return rest

    def _parse_slice(self, data: bytes) -> bytes:
        """Parse some bytes of one request at most; return the others.

        :param data: received bytes.
        """
        received = data[:SLICE_BYTES]
        if not received:
            return data
        piece, rest = self._cut(received)
        if len(rest) >= len(received):
            self._end_unreadable()
            return data
        # The base class stops the timer.
        self._received = piece
        HttpToolsProtocol.data_received(self, piece)
        self._received = b''
        if not self.transport.is_closing():
            self._count_head()
        return data[len(received) - len(rest) :]

    def _count_head(self) -> None:
        if self._head.begun:
            size = self._head.size
            self._count_requests()
            if size > self._limits.max_head_bytes:
                self._refuse(head_too_large(self._limits))
            elif size > SHORT_HEAD_BYTES and self._memory.process.is_exhausted:
                self._refuse(memory_exhausted())
        elif self._head.expected:
            self._head.reset()

    def on_message_begin(self) -> None:
        """Start counting the head of a request (callback of the parser)."""
        super().on_message_begin()
        self._fields.clear()
        self._method.begin()
        self._begin_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header of the head (callback of the parser).

        Trailers are dropped: the application may already have read the head,
        and a trailer must not replace one of its headers.

        :param name: name of the header.
        :param value: value of the header.
        :raises ValueError: if trailers are longer than a head may be.
        """
        self._pace.count_step()
        if self._head.expected:
            super().on_header(name, value)
            self._fields.add(*self.headers.pop())
            return
        self._trailer_bytes += len(name) + len(value)
        if self._trailer_bytes > self._limits.max_head_bytes:
            raise ValueError('the trailers are too large')

    def on_headers_complete(self) -> None:
        """Hand the request to the application (callback of the parser)."""
        self._check_memory()
        self.headers.extend(self._fields.take())
        self._check_head()
        self._head.end_head()
        self._body = find_framing(self.headers)
        self._trailer_bytes = 0
        # The base class reads targets in origin form only.
        authority, target = split_target(self.url)
        self.url = target
        req = PipelinedRequest(
            self.loop,
            self._pipeline,
            self._memory,
            self._next_place(),
        )
        text_bytes = len(self.url) + _size_bytes(self.headers)
        req.count_head(text_bytes, len(self.headers))
        # The application reaches this connection through the ASGI scope.
        self.scope['state'] = {
            'caller_disconnected': req.withdrawn,
            'pipelined_request': req,
            'abort': lambda: self._abort_answer(req),
            'omit_date_header': lambda: _omit_date(req.cycle),
            'header_bytes': text_bytes,
            'authority': authority,
            'request_target': target,
            'round_trip_s': round_trip_s(self.transport),
        }
        self._start_cycle(req)
        if self._method.replaced:
            self.scope['method'] = self._method.replaced.decode()
        if getattr(self.server_state, 'draining', False):
            self.cycle.keep_alive = False
        self._pipeline.add(req)
        self._count_requests()

    def on_body(self, body: bytes) -> None:
        """Pass a part of a request body on (callback of the parser).

        :param body: the bytes.
        """
        self._pace.count_step()
        super().on_body(body)
        if self._request is not None:
            self._request.add_body_bytes(len(body))

    def on_message_complete(self) -> None:
        """Expect the next request (callback of the parser)."""
        super().on_message_complete()
        self._head.end_message()
        self._method.end_message()

    def timeout_keep_alive_handler(self) -> None:
        """Refuse a slow head or close an idle connection (timer callback)."""
        if not self._head.begun:
            super().timeout_keep_alive_handler()
            return
        self._refuse(head_timed_out(self._limits))

    def apply_limits(self) -> None:
        """Apply changed limits to the time that has begun.

        A shorter limit counts from now on at the earliest, because the
        caller may still go by the former one.
        """
        timer = self.timeout_keep_alive_task
        former_end = math.inf if timer is None else timer.when()
        now = self.loop.time()
        self._start_timer(min(former_end, now + self._time_limit_s()))

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request and close the connection.

        :param msg: detail of the refusal for the caller.
        """
        self._refuse(self._head_refusal or malformed(msg))

    def _refuse(self, refusal: Refusal) -> None:
        """Refuse a request that is not passed on, and close the connection.

        :param refusal: the refusal; the request has not run.
        """
        if self._reading_ended or self.transport.is_closing():
            return
        record_refusal(
            refusal,
            parser_fault=self._head_refusal is None,
            target=getattr(self, 'url', b''),
            headers=self.headers or [],
            on_refusal=getattr(self.server_state, 'on_refusal', None),
        )
        last = self._pipeline.last
        if last is None:
            self.transport.write(encode_refusal(refusal))
            self._half_close()
        else:
            self._stop_after(last)

    def _end_unreadable(self) -> None:
        """End the connection: a step of the loop that reads it took no byte.

        The loop would go on for ever and hold all requests of the process.
        """
        _log.bind(
            framing=type(self._body).__name__,
            head_expected=self._head.expected,
        ).error('connection closed: its bytes cannot be read')
        last = self._pipeline.last
        if last is None:
            self.abort()
        else:
            self._stop_after(last)

    def _stop_after(self, last: PipelinedRequest) -> None:
        """End the connection with the answer of the last request.

        :param last: the request, behind which nothing is read.
        """
        if last.cycle.more_body:
            # The fault is in the body of a request that may be passed on.
            self._abort_answer(last)
        else:
            self._stop_reading()
            self._end_with(last)

    def start_drain(self) -> None:
        """Send ``connection: close`` with the last answer of what was read.

        If that answer has started, it is the next one.
        """
        last = self._pipeline.last
        if last is not None and not last.cycle.response_started:
            last.cycle.keep_alive = False
            self._drop_unparsed()
        self._update_reading()

    def shutdown(self) -> None:
        """Close the connection if it is idle."""
        if not self.busy:
            self.transport.close()

    @property
    def _head_bytes(self) -> int:
        arrives = self._head.begun and not self._is_lost
        return self._head.size if arrives else 0

    @property
    def _takes_requests(self) -> bool:
        # A connection that closes after the last answer takes no others.
        return self.cycle is None or self.cycle.keep_alive

    @property
    def _between_requests(self) -> bool:
        return self._head.expected and not self._head.begun

    @property
    def _has_read_ahead(self) -> bool:
        return (
            self._defers_requests
            or len(self._pipeline) >= self._limits.max_unanswered
            or (self._running and not self._memory.process.allows_reading_ahead)
            or self._pipeline.body_bytes >= MAX_BODIES_AHEAD_BYTES
        )

    @property
    def _limits(self) -> ListenerLimits:
        return getattr(self.server_state, 'limits', ListenerLimits())

    def _cut(self, data: bytes) -> tuple[bytes, bytes]:
        """Return bytes for the parser, of one request, and the others.

        The others are fewer than before: what is not for the parser yet is
        held.
        """
        if not self._head.expected:
            piece, data = self._body.cut(data)
            self._head.cut(piece)
            return piece, data
        piece, data = self._head.cut(data)
        piece = self._method.read(piece)
        if self._method.holds_bytes:
            self._begin_head()
        return piece, data

    def _begin_head(self) -> None:
        if not self._head.begun:
            self._head.begin()
            self._waits_since = self.loop.time()

    def _start_waiting(self) -> None:
        self._waits_since = self.loop.time()
        self._start_timer()

    def _start_timer(self, not_before: float = 0) -> None:
        self._unset_keepalive_if_required()
        ends_at = max(self._waits_since + self._time_limit_s(), not_before)
        if not self._running and math.isfinite(ends_at):
            self.timeout_keep_alive_task = self.loop.call_at(
                ends_at, self.timeout_keep_alive_handler
            )

    def _time_limit_s(self) -> float:
        if self._head.begun:
            return self._limits.head_timeout_s
        return self._limits.idle_timeout_s + IDLE_MARGIN_S

    def _check_memory(self) -> None:
        """Raise if there is no memory for another head.

        That ends the parsing as in :meth:`_check_head`.
        """
        if self._memory.process.is_exhausted:
            self._head_refusal = memory_exhausted()
            raise ValueError(self._head_refusal.detail)

    def _check_head(self) -> None:
        """Raise if the request must not be passed on.

        That ends the parsing, and the base class calls
        :meth:`send_400_response`.
        """
        # The head of a pipelined request may begin within a piece that is
        # counted for the request before it; its parsed parts are counted.
        size = max(self._head.size, len(self.url) + _size_bytes(self.headers))
        if size > self._limits.max_head_bytes:
            self._head_refusal = head_too_large(self._limits)
        else:
            fault = find_head_fault(
                self.parser.get_method(),
                self.parser.get_http_version(),
                self.url,
                self.headers,
            )
            self._head_refusal = malformed(fault) if fault else None
        if self._head_refusal is not None:
            raise ValueError(self._head_refusal.detail)

    def _unsupported_upgrade_warning(self) -> None:
        # After an upgrade request, the parser treats all further bytes as
        # another protocol, so the connection can carry no other request.
        self.cycle.keep_alive = False
        exc = sys.exception()
        framing = _body_framing(self.headers)
        if framing and isinstance(exc, httptools.HttpParserUpgrade):
            # The parser skips the body too; another one reads it. An empty
            # body ends with this head.
            self.cycle.more_body = True
            self._head.end_head()
            self.parser = httptools.HttpRequestParser(BodyReceiver(self))
            self.parser.feed_data(b'POST / HTTP/1.1\r\n%b\r\n' % framing)
            self.data_received(self._received[exc.args[0] :])


def _omit_date(cycle: RequestResponseCycle) -> None:
    cycle.default_headers = []


def _size_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    return sum(len(name) + len(value) for name, value in headers)


def _body_framing(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the header lines that frame a body; empty if there is none."""
    return b''.join(
        b'%b: %b\r\n' % (name, text)
        for name, text in headers
        if name in {b'content-length', b'transfer-encoding'}
    )
