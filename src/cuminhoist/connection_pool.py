"""Connections to targets and peers, as an httpx transport."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Self

import httpx
import msgspec

from .client_connection import ClientConnection
from .clock import Clock, SystemClock
from .exchange import Exchange, RequestHead
from .settings import is_ip

#: Idle connections are closed after this time, so that a target that changes
#: its owner does not keep connections of the old one.
IDLE_S = 20.0
#: Time for a new connection, unless the deadline is nearer.
CONNECT_S = 1.0


class Address(msgspec.Struct, frozen=True):
    """Where a server listens; a number, never a name."""

    host: str
    port: int


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Bounds of the connections to one server.

    :param connections: most connections, busy, idle and opening together.
    :param idle: most idle connections that are kept.
    """

    connections: int
    idle: int


OnClose = Callable[[Address], None]


def _ignore_close(_address: Address) -> None:
    """Drop the notice that a server has closed an idle connection."""


class _Server:
    """The connections to one server."""

    def __init__(
        self,
        address: Address,
        limits: ConnectionLimits,
        clock: Clock,
        on_close: OnClose,
    ) -> None:
        self._on_close = on_close
        self.address = address
        self.limits = limits
        self.open = 0
        self.most_open = 0
        self._idle: list[ClientConnection] = []
        self._clock = clock

    async def take(self, connect_s: float) -> ClientConnection:
        """Return a connection for one exchange.

        :param connect_s: longest time for a new connection.
        """
        while self._idle:
            conn = self._idle.pop()
            if conn.usable and not self._expired(conn):
                return conn
            conn.abort()
        if self.open >= self.limits.connections:
            # An aborted connection is closed in the next turn of the loop.
            await asyncio.sleep(0)
        if self.open >= self.limits.connections:
            raise httpx.PoolTimeout('all connections are in use')
        return await self._connect(connect_s)

    def give_back(self, conn: ClientConnection) -> None:
        """Keep a connection for the next exchange, or close it.

        :param conn: a connection whose exchange is complete.
        """
        if len(self._idle) >= self.limits.idle:
            conn.abort()
            return
        conn.idle_since = self._clock.now()
        self._idle.append(conn)

    def close_idle(self, only_expired: bool = False) -> None:
        """Close idle connections.

        :param only_expired: whether to keep those in recent use.
        """
        for conn in list(self._idle):
            if not only_expired or self._expired(conn):
                self._idle.remove(conn)
                conn.abort()

    async def _connect(self, connect_s: float) -> ClientConnection:
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        conn = ClientConnection(self._lost)
        try:
            async with asyncio.timeout(connect_s):
                await asyncio.get_running_loop().create_connection(
                    lambda: conn,
                    self.address.host,
                    self.address.port,
                )
        except BaseException as exc:
            # An opened connection is subtracted when it is lost.
            if conn.opened:
                conn.abort()
            else:
                self.open -= 1
            raise _connect_error(exc) from exc
        return conn

    def _lost(self, conn: ClientConnection) -> None:
        self.open -= 1
        if conn in self._idle:
            self._idle.remove(conn)
        if conn.closed_idle:
            self._on_close(self.address)

    def _expired(self, conn: ClientConnection) -> bool:
        return self._clock.now() - conn.idle_since > IDLE_S


class AnswerStream(httpx.AsyncByteStream):
    """The body of an answer; closing it early closes the connection.

    :param exchange: the request that it answers.
    """

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the bytes as they arrive."""
        while True:
            chunk = await self.exchange.read()
            if not chunk:
                return
            yield chunk

    async def aclose(self) -> None:
        """Give the rest of the answer up."""
        self.exchange.abort(httpx.ReadError('the answer was given up'))


def _connect_error(exc: BaseException) -> BaseException:
    if isinstance(exc, TimeoutError):
        return httpx.ConnectTimeout('no connection in time')
    if isinstance(exc, OSError):
        return httpx.ConnectError(str(exc))
    return exc


OnExchangeEnd = Callable[[Exchange], None]


class PoolTransport(httpx.AsyncBaseTransport):
    """An httpx transport that sends each request at most once.

    The request extensions are ``target`` (the raw path), ``timeout_s`` (time
    for the whole exchange, both bodies included) and ``on_end`` (called once
    with the exchange if a byte of it may have been sent).

    :param limits: bounds of the connections to each server.
    :param clock: source of time.
    :param on_close: called when a server closes an idle connection.
    """

    def __init__(
        self,
        limits: ConnectionLimits,
        clock: Clock | None = None,
        on_close: OnClose | None = None,
    ) -> None:
        self._on_close = on_close or _ignore_close
        self._limits = limits
        self._clock = clock or SystemClock()
        self._servers: dict[Address, _Server] = {}
        self._sweep: asyncio.TimerHandle | None = None

    @classmethod
    def from_slots(cls, connections: int, slots: int) -> Self:
        """Build a transport with the limits of a kind of target.

        :param connections: most connections for each target.
        :param slots: how many requests a target runs at once.
        """
        return cls(ConnectionLimits(connections, slots))

    def apply_limits(self, address: Address, limits: ConnectionLimits) -> None:
        """Set the bounds of the connections to one server.

        :param address: the server.
        :param limits: its bounds.
        """
        self._server(address).limits = limits

    def close_idle_connections(self, address: Address) -> None:
        """Close the idle connections to a server.

        :param address: the server.
        """
        server = self._servers.get(address)
        if server is not None:
            server.close_idle()

    def open_connections(self, address: Address) -> int:
        """Return how many connections to a server are open or opening.

        :param address: the server.
        """
        server = self._servers.get(address)
        return 0 if server is None else server.open

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Send a request and return the head of its answer.

        :param request: the request.
        """
        timeout_s = request.extensions.get('timeout_s')
        ends_at = None if timeout_s is None else self._clock.now() + timeout_s
        server = self._server(Address(request.url.host, request.url.port or 80))
        exchange = Exchange(_head(request), _ender(server, request))
        conn = await server.take(
            CONNECT_S if timeout_s is None else min(CONNECT_S, timeout_s),
        )
        try:
            conn.start(exchange)
        except httpx.LocalProtocolError:
            server.give_back(conn)
            raise
        if ends_at is not None:
            _limit_time(exchange, ends_at - self._clock.now())
        _start_upload(exchange, conn, request)
        self._plan_sweep()
        try:
            await exchange.wait_for_head()
        except asyncio.CancelledError:
            exchange.abort(httpx.ReadError('the request was cancelled'))
            raise
        return httpx.Response(
            exchange.status,
            headers=exchange.headers,
            stream=AnswerStream(exchange),
            extensions={'exchange': exchange},
        )

    async def aclose(self) -> None:
        """Close all idle connections."""
        if self._sweep is not None:
            self._sweep.cancel()
        for server in self._servers.values():
            server.close_idle()
        await asyncio.sleep(0)

    def _server(self, address: Address) -> _Server:
        server = self._servers.get(address)
        if server is None:
            if not is_ip(address.host):
                raise httpx.ConnectError(f'{address.host} is no IP number')
            server = _Server(
                address,
                self._limits,
                self._clock,
                self._on_close,
            )
            self._servers[address] = server
        return server

    def _plan_sweep(self) -> None:
        if self._sweep is None:
            loop = asyncio.get_running_loop()
            self._sweep = loop.call_later(IDLE_S / 2, self._close_expired)

    def _close_expired(self) -> None:
        self._sweep = None
        for server in self._servers.values():
            server.close_idle(only_expired=True)
        if any(pool.open for pool in self._servers.values()):
            self._plan_sweep()


def _head(request: httpx.Request) -> RequestHead:
    target = request.extensions.get('target')
    return RequestHead(
        request.method.encode('ascii', 'replace'),
        request.url.raw_path if target is None else target,
        request.headers.raw,
    )


def _ender(server: _Server, request: httpx.Request) -> OnExchangeEnd:
    report: OnExchangeEnd | None = request.extensions.get('on_end')

    def ended(exchange: Exchange) -> None:
        conn = exchange.conn
        if (
            exchange.complete
            and isinstance(conn, ClientConnection)
            and conn.usable
        ):
            server.give_back(conn)
        if report is not None:
            report(exchange)

    return ended


def _limit_time(exchange: Exchange, left_s: float) -> None:
    exchange.timer = asyncio.get_running_loop().call_later(
        max(left_s, 0),
        exchange.abort,
        httpx.ReadTimeout('no whole answer before the deadline'),
    )


def _start_upload(
    exchange: Exchange,
    conn: ClientConnection,
    request: httpx.Request,
) -> None:
    chunked = 'transfer-encoding' in request.headers
    length = request.headers.get('content-length', '0')
    if not chunked and length == '0':
        exchange.upload_complete = True
        return
    exchange.uploader = asyncio.create_task(
        _upload(exchange, conn, request, chunked),
    )


async def _upload(
    exchange: Exchange,
    conn: ClientConnection,
    request: httpx.Request,
    chunked: bool,
) -> None:
    stream = request.stream
    if not isinstance(stream, httpx.AsyncByteStream):
        raise httpx.LocalProtocolError('the body is not an async stream')
    try:
        await conn.upload(exchange, stream.__aiter__(), chunked)
    except Exception as exc:
        # The source of the body failed: the target must not take the part
        # that it has for the whole.
        exchange.abort(exc)
