"""HTTP listener of an instance, built on uvicorn.

It stops without cutting running requests: answers carry
``connection: close`` first, then idle connections are closed.
"""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import Any

import uvicorn

from .caller_connection import CallerConnection
from .caller_memory import CallerMemory, MemoryLimits
from .listener_bounds import RECEIVE_BUFFER_BYTES, ListenerBounds
from .listener_limits import ListenerLimits
from .parsing_pace import callers_budget
from .types import Reason

#: Idle connections stay open this long after a stop begins, so that a request
#: that a caller has already sent still gets an answer.
IDLE_GRACE_S = 1.0
#: Limit for running requests to finish in a stop, unless the deployment allows
#: longer deadlines.
DRAIN_TIMEOUT_S = 30.0

#: Connections that wait in the kernel until they are accepted.
BACKLOG = 2048
#: Connections that are accepted in one turn of the event loop: so many may be
#: open beyond the limit until it is applied.
ACCEPTED_IN_TURN = 32

_POLL_INTERVAL_S = 0.02


class HttpServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers.

    Signals belong to the daemon: uvicorn's handler would consume SIGTERM and
    stop at once, and several servers may share one process.
    """

    drain_timeout_s: float = DRAIN_TIMEOUT_S
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES

    @classmethod
    def from_app(
        cls,
        app: Any,
        host: str = '',
        port: int = 0,
        drain_timeout_s: float = DRAIN_TIMEOUT_S,
        *,
        overlaps_requests: bool = False,
        memory: CallerMemory | None = None,
        bounds: ListenerBounds = ListenerBounds(),
    ) -> 'HttpServer':
        """Build a server for an ASGI application.

        :param app: the application.
        :param host: IP address to listen on.
        :param port: port to listen on.
        :param drain_timeout_s: limit for running requests to finish in a
            stop, in seconds; at least the longest deadline, so that no
            request is cut.
        :param overlaps_requests: whether the application gets the pipelined
            requests of a connection at once, and decides itself which of them
            run concurrently (:class:`~.pipelined_request.PipelinedRequest`).
        :param memory: counts what the process holds for callers; None for a
            count of its own.
        :param bounds: what it may use of the process.
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
                backlog=ACCEPTED_IN_TURN,
                server_header=False,
            ),
        )
        server.drain_timeout_s = drain_timeout_s
        server.receive_buffer_bytes = bounds.receive_buffer_bytes
        server.server_state.memory = (  # type: ignore[attr-defined]
            memory or CallerMemory(MemoryLimits())
        )
        server.server_state.parsing_budget = (  # type: ignore[attr-defined]
            bounds.parsing_budget or callers_budget()
        )
        server.server_state.max_connections = (  # type: ignore[attr-defined]
            bounds.max_connections
        )
        server.server_state.overlaps_requests = (  # type: ignore[attr-defined]
            overlaps_requests
        )
        return server

    def report_refusals(self, on_refusal: Callable[[Reason], None]) -> None:
        """Call a function for each request that the listener refuses.

        :param on_refusal: counts the request by its reason.
        """
        self.server_state.on_refusal = (  # type: ignore[attr-defined]
            on_refusal
        )

    def apply_limits(self, limits: ListenerLimits) -> None:
        """Apply limits to new and open connections.

        :param limits: the limits.
        """
        self.server_state.limits = limits  # type: ignore[attr-defined]
        for conn in self._connections():
            conn.apply_limits()

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

    def close_idle(self) -> None:
        """Stop listening and close the connections without a request.

        A request that is sent from now on is not read.
        """
        for server in self.servers:
            server.close()
        for conn in self._connections():
            conn.shutdown()

    async def startup(self, sockets: Any = None) -> None:
        """Listen, with bounds on what the kernel keeps for connections.

        :param sockets: listening sockets, if there are any.
        """
        await super().startup(sockets)
        for server in self.servers:
            for sock in server.sockets:
                # Accepted connections inherit it.
                sock.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_RCVBUF,
                    self.receive_buffer_bytes,
                )
                with sock.dup() as listening:
                    listening.listen(BACKLOG)

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
