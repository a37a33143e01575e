"""HTTP listener of an instance."""

import asyncio
import contextlib
from collections.abc import Iterator
from typing import Any, cast

import uvicorn
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .problems import PROBLEM_TYPE, Refusal, encode_problem
from .types import Ran, Reason

MAX_HEADER_BYTES = 32 * 1024
MAX_HEADERS = 100
#: Idle connections stay open this long after the start of a drain, so that a
#: request that is already on its way still gets an answer.
IDLE_GRACE_S = 1.0
#: Longest time to finish running requests in a stop, unless a deployment has
#: longer deadlines.
DRAIN_S = 30.0
#: Time for a caller to read an answer that came before its whole body.
LINGER_S = 2.0

_STEP_S = 0.02


class CallerConnection(HttpToolsProtocol):
    """A caller's connection with limits, disconnect notice and drain."""

    def __init__(self, *args: Any, **settings: Any) -> None:
        super().__init__(*args, **settings)
        self._head_bytes = 0
        self._in_head = True
        self._lingering = False
        self._gone: asyncio.Future[None] = self.loop.create_future()

    @property
    def busy(self) -> bool:
        """Whether a request is running or its head is arriving."""
        running = self.cycle is not None and not self.cycle.response_complete
        return running or bool(self.pipeline) or self._head_bytes > 0

    def data_received(self, data: bytes) -> None:
        """Parse bytes of a request.

        :param data: the bytes.
        """
        if self._lingering:
            return
        if self._in_head:
            self._head_bytes += len(data)
        super().data_received(data)
        if self._in_head and self._head_bytes > MAX_HEADER_BYTES:
            self.send_400_response('The header is too large.')

    def on_message_begin(self) -> None:
        """Start a request."""
        super().on_message_begin()
        self._in_head = True

    def on_headers_complete(self) -> None:
        """Start the answer to a request."""
        self._in_head = False
        self._head_bytes = 0
        # The scope is what the application sees of this connection.
        self.scope['state'] = {
            'caller_disconnected': self._gone,
            'abort': self.abort,
            'omit_date_header': self._omit_date,
            'header_bytes': len(self.url) + _size(self.headers),
        }
        super().on_headers_complete()
        self.cycle.transport = cast(asyncio.Transport, _Wire(self))
        if getattr(self.server_state, 'draining', False):
            self.cycle.keep_alive = False

    def on_message_complete(self) -> None:
        """End a request."""
        super().on_message_complete()
        self._in_head = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the running request that its caller has gone.

        :param exc: the error, if there was one.
        """
        super().connection_lost(exc)
        if not self._gone.done():
            self._gone.set_result(None)

    def send_400_response(self, msg: str) -> None:
        """Refuse a malformed request and close the connection.

        :param msg: what is wrong with it.
        """
        if self._lingering or self.transport.is_closing():
            return
        if self.cycle is not None and not self.cycle.response_complete:
            # Another answer on this connection is not whole yet.
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
        self._close_late()

    def linger(self) -> None:
        """Close once the caller has had time to read the answer.

        A close with unread bytes of the request resets the connection, which
        can destroy the answer before the caller has read it.
        """
        if self.cycle.more_body:
            self._close_late()
        else:
            self.transport.close()

    def start_drain(self) -> None:
        """Announce the close with each answer that has not started."""
        cycle = self.cycle
        if cycle is not None and not cycle.response_started:
            cycle.keep_alive = False

    def shutdown(self) -> None:
        """Close the connection if it is idle."""
        if not self.busy:
            self.transport.close()

    def abort(self) -> None:
        """Close the connection without a proper end."""
        if self.transport is not None:
            self.transport.abort()

    def _close_late(self) -> None:
        self._lingering = True
        self.pipeline.clear()
        self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.abort)

    def _omit_date(self) -> None:
        self.cycle.default_headers = []

    def _unsupported_upgrade_warning(self) -> None:
        # The parser takes what follows for another protocol.
        self.cycle.keep_alive = False


class _Wire:
    """What the cycle of a request uses of its transport."""

    def __init__(self, conn: CallerConnection) -> None:
        self._conn = conn
        self.write = conn.transport.write
        self.is_closing = conn.transport.is_closing

    def close(self) -> None:
        """Close the connection after the answer."""
        self._conn.linger()


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon.

    The library's own handler would swallow SIGTERM and stop at once, and
    several servers may share one process.
    """

    drain_timeout_s: float = DRAIN_S

    @classmethod
    def from_app(
        cls,
        app: Any,
        host: str = '',
        port: int = 0,
        drain_s: float = DRAIN_S,
    ) -> 'HttpServer':
        """Build a server for an ASGI application.

        :param app: the application.
        :param host: IP number to listen on.
        :param port: port to listen on.
        :param drain_s: longest time to finish running requests in a stop; at
            least the longest deadline, so that none is cut.
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
        server.drain_timeout_s = drain_s
        return server

    def start_drain(self) -> None:
        """Send ``connection: close`` with each answer from now on.

        The listener stays open, so that callers with an older look-up answer
        are still served.
        """
        self.server_state.draining = True  # type: ignore[attr-defined]
        for conn in self._connections():
            conn.start_drain()

    @property
    def has_connections(self) -> bool:
        """Whether any connection of a caller is open."""
        return bool(self._connections())

    def begin_stop(self) -> None:
        """Start the stop; the task of :meth:`serve` ends when it is done."""
        self.start_drain()
        self.should_exit = True

    async def shutdown(self, sockets: Any = None) -> None:
        """Stop accepting and finish all requests that run.

        :param sockets: listening sockets that were given to the server.
        """
        self.start_drain()
        for server in self.servers:
            server.close()
        for sock in sockets or ():
            sock.close()
        await self._finish(IDLE_GRACE_S, close_idle=False)
        await self._finish(self.drain_timeout_s, close_idle=True)
        for conn in self._connections():
            conn.abort()
        await asyncio.sleep(_STEP_S)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield

    async def _finish(self, bound_s: float, *, close_idle: bool) -> None:
        left_s = bound_s
        while left_s > 0 and self._connections():
            if close_idle:
                for conn in self._connections():
                    conn.shutdown()
            await asyncio.sleep(_STEP_S)
            left_s -= _STEP_S

    def _connections(self) -> list[CallerConnection]:
        return [
            conn
            for conn in self.server_state.connections
            if isinstance(conn, CallerConnection)
        ]


def _size(headers: list[tuple[bytes, bytes]]) -> int:
    return sum(len(name) + len(text) for name, text in headers)
