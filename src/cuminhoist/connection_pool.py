"""Pools of connections to targets and peers, as an httpx transport.

Each request is sent at most once, since the server may have run it even if
no answer arrives. Only IP addresses are accepted, so that no request waits
for DNS.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Self

import httpx
import msgspec

from .chunk_budget import ChunkBudget
from .client_connection import ClientConnection
from .clock import Clock, SystemClock
from .exceptions import LocalProtocolError, RemoteProtocolError
from .exchange import Exchange, RequestHead
from .settings import is_ip

#: Idle connections are closed after this time, so that the former owner of a
#: target does not occupy its connections.
IDLE_TIMEOUT_S = 20.0
#: Limit for opening a connection, unless the deadline is earlier.
CONNECT_TIMEOUT_S = 1.0


class Address(msgspec.Struct, frozen=True):
    """IP address and port of a server; never a host name."""

    host: str
    port: int


class ConnectionLimits(msgspec.Struct, frozen=True):
    """Limits of the connections to one server.

    :param connections: limit of all connections: busy, idle and opening.
    :param idle: limit of idle connections; further ones are closed.
    """

    connections: int
    idle: int


OnClose = Callable[[Address], None]


def _ignore_close(_address: Address) -> None:
    """Ignore that a server has closed an idle connection."""


class _ServerPool:
    """The connections to one server."""

    def __init__(
        self,
        address: Address,
        limits: ConnectionLimits,
        clock: Clock,
        on_close: OnClose,
        chunk_budget: ChunkBudget,
    ) -> None:
        self._on_close = on_close
        self._chunk_budget = chunk_budget
        self.address = address
        self.limits = limits
        self.open_count = 0
        self.peak_open_count = 0
        self._idle: list[ClientConnection] = []
        self._clock = clock

    async def acquire(self, connect_timeout_s: float) -> ClientConnection:
        """Return an idle or a new connection for one exchange.

        :param connect_timeout_s: limit for opening a connection, in seconds.
        :raises httpx.PoolTimeout: if all connections are in use.
        """
        while self._idle:
            conn = self._idle.pop()
            if conn.usable and not self._is_expired(conn):
                return conn
            conn.abort()
        if self.open_count >= self.limits.connections:
            # An aborted connection is counted until the next iteration of the
            # event loop.
            await asyncio.sleep(0)
        if self.open_count >= self.limits.connections:
            raise httpx.PoolTimeout('all connections to the server are in use')
        return await self._connect(connect_timeout_s)

    def release(self, conn: ClientConnection) -> None:
        """Keep a connection for the next exchange, or close a surplus one.

        :param conn: a connection whose exchange is complete.
        """
        if len(self._idle) >= self.limits.idle:
            conn.abort()
            return
        conn.idle_since = self._clock.now()
        self._idle.append(conn)

    def close_idle(self, only_expired: bool = False) -> None:
        """Close idle connections.

        :param only_expired: whether to close only those idle for too long.
        """
        for conn in list(self._idle):
            if not only_expired or self._is_expired(conn):
                self._idle.remove(conn)
                conn.abort()

    async def _connect(self, connect_timeout_s: float) -> ClientConnection:
        self.open_count += 1
        self.peak_open_count = max(self.peak_open_count, self.open_count)
        conn = ClientConnection(self._handle_close, self._chunk_budget)
        try:
            async with asyncio.timeout(connect_timeout_s):
                await asyncio.get_running_loop().create_connection(
                    lambda: conn,
                    self.address.host,
                    self.address.port,
                )
        except BaseException as exc:
            # An established connection is subtracted when it closes.
            if conn.was_established:
                conn.abort()
            else:
                self.open_count -= 1
            raise _connect_error(exc) from exc
        return conn

    def _handle_close(self, conn: ClientConnection) -> None:
        self.open_count -= 1
        if conn in self._idle:
            self._idle.remove(conn)
        if conn.closed_while_idle:
            self._on_close(self.address)

    def _is_expired(self, conn: ClientConnection) -> bool:
        return self._clock.now() - conn.idle_since > IDLE_TIMEOUT_S


class AnswerStream(httpx.AsyncByteStream):
    """The body of an answer; closing it early closes the connection.

    :param exchange: the exchange of the answer.
    """

    def __init__(self, exchange: Exchange) -> None:
        self.exchange = exchange

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield chunks of the body as they arrive."""
        while True:
            try:
                chunk = await self.exchange.read()
            except RemoteProtocolError as exc:
                raise httpx.RemoteProtocolError(str(exc)) from exc
            if not chunk:
                return
            yield chunk

    async def aclose(self) -> None:
        """Abandon the rest of the answer."""
        self.exchange.abort(httpx.ReadError('the reader abandoned the answer'))


def _connect_error(exc: BaseException) -> BaseException:
    if isinstance(exc, TimeoutError):
        return httpx.ConnectTimeout(
            'the connection was not established in time'
        )
    if isinstance(exc, OSError):
        return httpx.ConnectError(str(exc))
    return exc


OnExchangeEnd = Callable[[Exchange], None]


class PoolTransport(httpx.AsyncBaseTransport):
    """An httpx transport that sends each request at most once.

    The request extensions are ``target`` (the raw path), ``timeout_s`` (limit
    for the whole exchange, both bodies included) and ``on_end`` (called once
    with the exchange if a byte of it may have been sent).

    :param limits: limits of the connections to each server; see
        :meth:`apply_limits`.
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
        self._pools: dict[Address, _ServerPool] = {}
        self._chunk_budget = ChunkBudget()
        self._sweep_timer: asyncio.TimerHandle | None = None

    @classmethod
    def from_slots(cls, connections: int, slots: int) -> Self:
        """Build a transport whose servers all have the same limits.

        :param connections: limit of connections to each target.
        :param slots: number of requests that a target runs at once; as many
            idle connections are kept.
        """
        return cls(ConnectionLimits(connections, slots))

    def apply_limits(self, address: Address, limits: ConnectionLimits) -> None:
        """Set the limits of the connections to one server.

        :param address: address of the server.
        :param limits: the limits.
        """
        self._pool(address).limits = limits

    def close_idle_connections(self, address: Address) -> None:
        """Close the idle connections to a server.

        :param address: address of the server.
        """
        pool = self._pools.get(address)
        if pool is not None:
            pool.close_idle()

    def open_connections(self, address: Address) -> int:
        """Return the number of open and opening connections to a server.

        :param address: address of the server.
        """
        pool = self._pools.get(address)
        return 0 if pool is None else pool.open_count

    async def handle_async_request(
        self,
        request: httpx.Request,
    ) -> httpx.Response:
        """Send a request and return the head of its answer.

        :param request: the request.
        """
        timeout_s = request.extensions.get('timeout_s')
        deadline_at = (
            None if timeout_s is None else self._clock.now() + timeout_s
        )
        pool = self._pool(Address(request.url.host, request.url.port or 80))
        exchange = Exchange(
            _request_head(request), _end_callback(pool, request)
        )
        conn = await pool.acquire(
            CONNECT_TIMEOUT_S
            if timeout_s is None
            else min(CONNECT_TIMEOUT_S, timeout_s),
        )
        try:
            conn.start(exchange)
        except LocalProtocolError as exc:
            pool.release(conn)
            raise httpx.LocalProtocolError(str(exc)) from exc
        if deadline_at is not None:
            _start_deadline_timer(exchange, deadline_at - self._clock.now())
        _start_upload(exchange, conn, request)
        self._schedule_sweep()
        try:
            await exchange.wait_for_head()
        except RemoteProtocolError as exc:
            raise httpx.RemoteProtocolError(str(exc)) from exc
        except asyncio.CancelledError:
            exchange.abort(
                httpx.ReadError(
                    'the request was cancelled before the head of its answer'
                )
            )
            raise
        return httpx.Response(
            exchange.status,
            headers=exchange.headers,
            stream=AnswerStream(exchange),
            extensions={'exchange': exchange},
        )

    async def aclose(self) -> None:
        """Close all idle connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        for pool in self._pools.values():
            pool.close_idle()
        await asyncio.sleep(0)

    def _pool(self, address: Address) -> _ServerPool:
        pool = self._pools.get(address)
        if pool is None:
            if not is_ip(address.host):
                raise httpx.ConnectError(f'{address.host} is not an IP address')
            pool = _ServerPool(
                address,
                self._limits,
                self._clock,
                self._on_close,
                self._chunk_budget,
            )
            self._pools[address] = pool
        return pool

    def _schedule_sweep(self) -> None:
        if self._sweep_timer is None:
            loop = asyncio.get_running_loop()
            self._sweep_timer = loop.call_later(IDLE_TIMEOUT_S / 2, self._sweep)

    def _sweep(self) -> None:
        self._sweep_timer = None
        for pool in self._pools.values():
            pool.close_idle(only_expired=True)
        if any(each.open_count for each in self._pools.values()):
            self._schedule_sweep()


def _request_head(request: httpx.Request) -> RequestHead:
    target = request.extensions.get('target')
    return RequestHead(
        request.method.encode('ascii', 'replace'),
        request.url.raw_path if target is None else target,
        request.headers.raw,
    )


def _end_callback(pool: _ServerPool, request: httpx.Request) -> OnExchangeEnd:
    report: OnExchangeEnd | None = request.extensions.get('on_end')

    def end(exchange: Exchange) -> None:
        conn = exchange.conn
        if (
            exchange.complete
            and isinstance(conn, ClientConnection)
            and conn.usable
        ):
            pool.release(conn)
        if report is not None:
            report(exchange)

    return end


def _start_deadline_timer(exchange: Exchange, left_s: float) -> None:
    exchange.timer = asyncio.get_running_loop().call_later(
        max(left_s, 0),
        exchange.abort,
        httpx.ReadTimeout('the answer was not complete before the deadline'),
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
        raise httpx.LocalProtocolError(
            'the request body is not an async stream'
        )
    try:
        await conn.upload(exchange, stream.__aiter__(), chunked)
    except Exception as exc:
        # The source of the body failed. The connection is closed so that the
        # target does not take the bytes sent so far for the complete body.
        exchange.abort(exc)
