"""HTTP listener of an instance, built on uvicorn.

It limits the size of request heads, tells the application when a caller
disconnects, and stops without cutting running requests: answers carry
``connection: close`` first, then idle connections are closed.
"""

import asyncio
import contextlib
import sys
from collections.abc import Callable, Iterator
from typing import Any, cast

import httptools
import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .caller_round_trip import round_trip_s
from .logging_setup import logger
from .problems import PROBLEM_TYPE, Refusal, encode_problem
from .request_target import split_target
from .types import Ran, Reason

MAX_HEADER_BYTES = 32 * 1024
MAX_HEADERS = 100
#: Idle connections stay open this long after a stop begins, so that a request
#: that a caller has already sent still gets an answer.
IDLE_GRACE_S = 1.0
#: Limit for running requests to finish in a stop, unless the deployment allows
#: longer deadlines.
DRAIN_TIMEOUT_S = 30.0
#: Time for a caller to read an answer that was sent before the request body
#: had been read.
CLOSE_DELAY_S = 2.0

_POLL_INTERVAL_S = 0.02
#: Bytes of a malformed request's target and header names that are logged.
_LOGGED_BYTES = 200

_log = logger('listener')


class CallerConnection(HttpToolsProtocol):
    """A caller's connection with size limits, disconnect notice and drain."""

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._head_bytes = 0
        self._in_head = True
        self._half_closed = False
        self._received = b''
        self._disconnected: asyncio.Future[None] = self.loop.create_future()

    @property
    def busy(self) -> bool:
        """Whether a request is running or its head is arriving."""
        running = self.cycle is not None and not self.cycle.response_complete
        return running or bool(self.pipeline) or self._head_bytes > 0

    def data_received(self, data: bytes) -> None:
        """Parse received bytes of a request.

        :param data: the bytes.
        """
        if self._half_closed:
            return
        if self._in_head:
            self._head_bytes += len(data)
        self._received = data
        super().data_received(data)
        self._received = b''
        if self._in_head and self._head_bytes > MAX_HEADER_BYTES:
            self.send_400_response('The head of the request is too large.')

    def on_message_begin(self) -> None:
        """Start counting the head of a request (callback of the parser)."""
        super().on_message_begin()
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header of the head (callback of the parser).

        Trailers are dropped: the application may already have read the head,
        and a trailer must not replace one of its headers.

        :param name: name of the header.
        :param value: value of the header.
        """
        if self._in_head:
            super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Hand the request to the application (callback of the parser)."""
        self._in_head = False
        self._head_bytes = 0
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
        self.cycle.transport = cast(asyncio.Transport, _CycleTransport(self))
        if getattr(self.server_state, 'draining', False):
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        """Expect the next request (callback of the parser)."""
        super().on_message_complete()
        self._in_head = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the application that the caller has disconnected.

        :param exc: the error, if there was one.
        """
        super().connection_lost(exc)
        if not self._disconnected.done():
            self._disconnected.set_result(None)

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request and close the connection.

        :param msg: detail of the refusal for the caller.
        """
        if self._half_closed or self.transport.is_closing():
            return
        self._record_malformed_request(msg)
        if self.cycle is not None and not self.cycle.response_complete:
            # An earlier answer on this connection is not complete yet.
            self.abort()
            return
        refusal = Refusal(
            ran=Ran.not_run,
            reason=Reason.bad_request,
            detail=msg,
        )
        body = encode_problem(refusal)
        head = (
            f'HTTP/1.1 {refusal.status} Bad Request\r\n'
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

    def _record_malformed_request(self, msg: str) -> None:
        # The base class calls from the handler of the parser's error and
        # passes on a fixed message only.
        exc = sys.exception()
        if exc is not None:
            # An error of a parser callback is the context of a general one.
            exc = exc.__context__ or exc
        names = b' '.join(name for name, _ in self.headers or ())
        _log.bind(
            reason=msg if exc is None else repr(exc),
            target=getattr(self, 'url', b'')[:_LOGGED_BYTES].decode('latin-1'),
            header_names=names[:_LOGGED_BYTES].decode('latin-1'),
        ).warning('malformed request refused')
        on_malformed = getattr(self.server_state, 'on_malformed', None)
        if on_malformed is not None:
            on_malformed()

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
            self._in_head = False
            self.data_received(self._received[exc.args[0] :])


class _BodyReceiver:
    """Passes the body of a request on, but nothing of its head."""

    def __init__(self, conn: CallerConnection) -> None:
        self.on_body = conn.on_body
        self.on_message_complete = conn.on_message_complete


class _CycleTransport:
    """Transport of a request cycle; replaces its close of the connection."""

    def __init__(self, conn: CallerConnection) -> None:
        self._conn = conn
        self.write = conn.transport.write
        self.is_closing = conn.transport.is_closing

    def close(self) -> None:
        """Close the connection after the answer."""
        self._conn.close_after_answer()


class HttpServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers.

    Signals belong to the daemon: uvicorn's handler would consume SIGTERM and
    stop at once, and several servers may share one process.
    """

    drain_timeout_s: float = DRAIN_TIMEOUT_S

    @classmethod
    def from_app(
        cls,
        app: Any,
        host: str = '',
        port: int = 0,
        drain_timeout_s: float = DRAIN_TIMEOUT_S,
    ) -> 'HttpServer':
        """Build a server for an ASGI application.

        :param app: the application.
        :param host: IP address to listen on.
        :param port: port to listen on.
        :param drain_timeout_s: limit for running requests to finish in a
            stop, in seconds; at least the longest deadline, so that no
            request is cut.
        """
        server = cls(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                interface='asgi3',
                loop='asyncio',
                http=CallerConnection,
                ws='none',
                lifespan='off',
                access_log=False,
                log_level='warning',
                timeout_keep_alive=30,
                server_header=False,
            ),
        )
        server.drain_timeout_s = drain_timeout_s
        return server

    def report_malformed_requests(
        self, on_malformed: Callable[[], None]
    ) -> None:
        """Call a function for each request that the parser refuses.

        :param on_malformed: counts the request.
        """
        self.server_state.on_malformed = (  # type: ignore[attr-defined]
            on_malformed
        )

    def start_drain(self) -> None:
        """Send ``connection: close`` with each answer from now on.

        The listener stays open for callers whose cached look-up answer still
        names this instance.
        """
        self.server_state.draining = True  # type: ignore[attr-defined]
        for conn in self._connections():
            conn.start_drain()

    @property
    def has_connections(self) -> bool:
        """Whether any connection of a caller is open."""
        return bool(self._connections())

    def begin_stop(self) -> None:
        """Begin to stop; :meth:`serve` returns when the stop is complete."""
        self.start_drain()
        self.should_exit = True

    async def shutdown(self, sockets: Any = None) -> None:
        """Stop accepting connections and let running requests finish.

        :param sockets: listening sockets that were passed to the server.
        """
        self.start_drain()
        for server in self.servers:
            server.close()
        for sock in sockets or ():
            sock.close()
        await self._wait_for_close(IDLE_GRACE_S, close_idle=False)
        await self._wait_for_close(self.drain_timeout_s, close_idle=True)
        for conn in self._connections():
            conn.abort()
        await asyncio.sleep(_POLL_INTERVAL_S)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield

    async def _wait_for_close(
        self, timeout_s: float, *, close_idle: bool
    ) -> None:
        left_s = timeout_s
        while left_s > 0 and self._connections():
            if close_idle:
                for conn in self._connections():
                    conn.shutdown()
            await asyncio.sleep(_POLL_INTERVAL_S)
            left_s -= _POLL_INTERVAL_S

    def _connections(self) -> list[CallerConnection]:
        return [
            conn
            for conn in self.server_state.connections
            if isinstance(conn, CallerConnection)
        ]


def _size_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    return sum(len(name) + len(value) for name, value in headers)


def _body_framing(headers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the header lines that frame a body; empty if there is none."""
    return b''.join(
        b'%b: %b\r\n' % (name, text)
        for name, text in headers
        if name in {b'content-length', b'transfer-encoding'}
    )
