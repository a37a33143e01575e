"""A caller's connection, built on the HTTP protocol of uvicorn.

It limits the size of request heads, tells the application when the caller
disconnects, and refuses malformed requests with problem details.
"""

import asyncio
import http
import math
import sys
from typing import Any, cast

import httptools
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .caller_round_trip import round_trip_s
from .head_counter import HeadCounter
from .listener_limits import ListenerLimits
from .logging_setup import logger
from .problems import PROBLEM_TYPE, Refusal, encode_problem
from .request_body_framing import find_framing
from .request_head import find_head_fault
from .request_method import MethodReader
from .request_target import split_target
from .types import Ran, Reason

MAX_HEADERS = 100
#: Time for a caller to read an answer that was sent before the request body
#: had been read.
CLOSE_DELAY_S = 2.0

#: Idle connections stay open this long after the limit, because a request
#: that was sent within the limit may still be on its way.
IDLE_MARGIN_S = 1.0

#: Bytes of a malformed request's target and header names that are logged.
_LOGGED_BYTES = 200

_log = logger('listener')


class CallerConnection(HttpToolsProtocol):
    """A caller's connection with size limits, disconnect notice and drain."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        #: Bytes that the parser is reading.
        self._received = b''
        self._head = HeadCounter()
        self._method = MethodReader()
        self._body = find_framing([])
        #: Why the head that was parsed last is refused.
        self._head_refusal: Refusal | None = None
        self._half_closed = False
        #: Loop time since which no request runs or since which a head has
        #: been arriving.
        self._waits_since = self.loop.time()
        self._disconnected: asyncio.Future[None] = self.loop.create_future()

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

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of a request.

        :param data: the bytes.
        """
        while data and not self._half_closed:
            piece, data = self._cut(data)
            # The base class stops the timer.
            self._received = piece
            super().data_received(piece)
            self._received = b''
            if self.transport.is_closing():
                return
            if self._head.begun:
                if self._head.size > self._limits.max_head_bytes:
                    self._refuse(self._head_too_large())
            elif self._head.expected:
                self._head.reset()
        if self._head.begun:
            self._start_timer()
        else:
            self._start_waiting()

    def on_message_begin(self) -> None:
        """Start counting the head of a request (callback of the parser)."""
        super().on_message_begin()
        self._method.begin()
        self._begin_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header of the head (callback of the parser).

        Trailers are dropped: the application may already have read the head,
        and a trailer must not replace one of its headers.

        :param name: name of the header.
        :param value: value of the header.
        """
        if self._head.expected:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Hand the request to the application (callback of the parser)."""
        self._check_head()
        self._head.end_head()
        self._body = find_framing(self.headers)
        # The base class reads targets in origin form only.
        authority, target = split_target(self.url)
        self.url = target
        # The application reaches this connection through the ASGI scope.
        self.scope['state'] = {
            'caller_disconnected': self._disconnected,
            'abort': self.abort,
            'omit_date_header': self._omit_date,
            'header_bytes': len(self.url) + _size_bytes(self.headers),
            'authority': authority,
            'request_target': target,
            'round_trip_s': round_trip_s(self.transport),
        }
        super().on_headers_complete()
        if self._method.replaced:
            self.scope['method'] = self._method.replaced.decode()
        self.cycle.transport = cast(asyncio.Transport, _CycleTransport(self))
        if getattr(self.server_state, 'draining', False):
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        """Expect the next request (callback of the parser)."""
        super().on_message_complete()
        self._head.end_message()
        self._method.end_message()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the application that the caller has disconnected.

        :param exc: the error, if there was one.
        """
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        if not self._disconnected.done():
            self._disconnected.set_result(None)

    def on_response_complete(self) -> None:
        """Wait for the next request (callback of the request cycle)."""
        super().on_response_complete()
        if not self.transport.is_closing():
            self._start_waiting()

    def timeout_keep_alive_handler(self) -> None:
        """Refuse a slow head or close an idle connection (timer callback)."""
        if not self._head.begun:
            super().timeout_keep_alive_handler()
            return
        limit_s = self._limits.head_timeout_s
        self._refuse(
            Refusal(
                ran=Ran.not_run,
                reason=Reason.head_timeout,
                detail=f'The head of the request took over {limit_s:g} s.',
            )
        )

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
        self._refuse(self._head_refusal or _malformed(msg))

    def _refuse(self, refusal: Refusal) -> None:
        """Refuse a request that is not passed on, and close the connection.

        :param refusal: the refusal; the request has not run.
        """
        if self._half_closed or self.transport.is_closing():
            return
        self._record_refusal(refusal)
        if self._running and self.cycle.more_body:
            # The fault is in the body of a request that may be passed on.
            self.abort()
            return
        if self._running:
            # The answers to the requests before it are sent; then the
            # connection is closed.
            self._half_closed = True
            self.cycle.keep_alive = False
            return
        body = encode_problem(refusal)
        status = http.HTTPStatus(refusal.status)
        head = (
            f'HTTP/1.1 {status.value} {status.phrase}\r\n'
            f'content-type: {PROBLEM_TYPE}\r\n'
            f'content-length: {len(body)}\r\n'
            'x-cuminhoist-refusal: 1\r\n'
            'connection: close\r\n\r\n'
        )
        self.transport.write(head.encode() + body)
        self._half_close()

    def close_after_answer(self) -> None:
        """Close the connection so that the caller still reads the answer.

        Closing a socket with unread request bytes resets the connection, and
        a reset can discard the answer before the caller has read it. In this
        case only the sending side is closed at first.
        """
        if self.cycle.more_body:
            self._half_close()
        else:
            self.transport.close()

    def start_drain(self) -> None:
        """Send ``connection: close`` with an answer that has not started."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_started:
            cycle.keep_alive = False

    def shutdown(self) -> None:
        """Close the connection if it is idle."""
        if not self.busy:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection at once, even within an answer."""
        if self.transport is not None:
            self.transport.abort()

    @property
    def _running(self) -> bool:
        # A pipelined request waits while this cycle is not complete.
        return self.cycle is not None and not self.cycle.response_complete

    @property
    def _limits(self) -> ListenerLimits:
        return getattr(self.server_state, 'limits', ListenerLimits())

    def _cut(self, data: bytes) -> tuple[bytes, bytes]:
        """Return bytes for the parser, of one request, and the others."""
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

    def _check_head(self) -> None:
        """Raise if the request must not be passed on.

        That ends the parsing, and the base class calls
        :meth:`send_400_response`.
        """
        # The head of a pipelined request may begin within a piece that is
        # counted for the request before it; its parsed parts are counted.
        size = max(self._head.size, len(self.url) + _size_bytes(self.headers))
        if size > self._limits.max_head_bytes:
            self._head_refusal = self._head_too_large()
        else:
            fault = find_head_fault(
                self.parser.get_method(),
                self.parser.get_http_version(),
                self.url,
                self.headers,
            )
            self._head_refusal = _malformed(fault) if fault else None
        if self._head_refusal is not None:
            raise ValueError(self._head_refusal.detail)

    def _head_too_large(self) -> Refusal:
        limit = self._limits.max_head_bytes
        return Refusal(
            ran=Ran.not_run,
            reason=Reason.head_too_large,
            detail=f'The head of the request exceeds {limit} bytes.',
        )

    def _record_refusal(self, refusal: Refusal) -> None:
        # The base class calls from the handler of the parser's error and
        # passes on a fixed message only.
        exc = sys.exception()
        if exc is not None:
            # An error of a parser callback is the context of a general one.
            exc = exc.__context__ or exc
        names = b' '.join(name for name, _ in self.headers or ())
        _log.bind(
            refused=refusal.reason,
            reason=(
                repr(exc)
                if exc is not None and self._head_refusal is None
                else refusal.detail
            ),
            target=getattr(self, 'url', b'')[:_LOGGED_BYTES].decode('latin-1'),
            header_names=names[:_LOGGED_BYTES].decode('latin-1'),
        ).warning('malformed request refused')
        on_refusal = getattr(self.server_state, 'on_refusal', None)
        if on_refusal is not None:
            on_refusal(refusal.reason)

    def _half_close(self) -> None:
        self._half_closed = True
        self.pipeline.clear()
        self.transport.write_eof()
        self.loop.call_later(CLOSE_DELAY_S, self.abort)

    def _omit_date(self) -> None:
        self.cycle.default_headers = []

    def _unsupported_upgrade_warning(self) -> None:
        # After an upgrade request, the parser treats all further bytes as
        # another protocol, so the connection can carry no other request.
        self.cycle.keep_alive = False
        exc = sys.exception()
        framing = _body_framing(self.headers)
        if framing and isinstance(exc, httptools.HttpParserUpgrade):
            # The parser skips the body too; another one reads it.
            self.cycle.more_body = True
            self.parser = httptools.HttpRequestParser(_BodyReceiver(self))
            self.parser.feed_data(b'POST / HTTP/1.1\r\n%b\r\n' % framing)
            self._head.end_head()
            self.data_received(self._received[exc.args[0] :])


class _BodyReceiver:
    """Passes the body of one request on, but no head and nothing after it."""

    def __init__(self, conn: CallerConnection) -> None:
        self._conn = conn
        self._complete = False

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on (callback of the parser).

        :param body: the bytes.
        """
        if not self._complete:
            self._conn.on_body(body)

    def on_message_complete(self) -> None:
        """Note the end of the body (callback of the parser)."""
        if not self._complete:
            self._complete = True
            self._conn.on_message_complete()


class _CycleTransport:
    """Transport of a request cycle; replaces its close of the connection."""

    def __init__(self, conn: CallerConnection) -> None:
        self._conn = conn
        self.write = conn.transport.write
        self.is_closing = conn.transport.is_closing

    def close(self) -> None:
        """Close the connection after the answer."""
        self._conn.close_after_answer()


def _malformed(detail: str) -> Refusal:
    return Refusal(ran=Ran.not_run, reason=Reason.bad_request, detail=detail)


def _size_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    return sum(len(name) + len(value) for name, value in headers)


def _body_framing(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the header lines that frame a body; empty if there is none."""
    return b''.join(
        b'%b: %b\r\n' % (name, text)
        for name, text in headers
        if name in {b'content-length', b'transfer-encoding'}
    )
