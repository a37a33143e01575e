"""Pools idle connections to targets, one pool for each target incarnation."""

import asyncio
import collections
import contextlib
import math
import socket
from collections.abc import Callable

import msgspec

from ..chunk_budget import ChunkBudget
from ..client_connection import ClientConnection
from ..exchange import Exchange
from ..steering.targets import TargetEntry
from .connection_shares import ConnectionShares
from .pacing import LinkPacer

#: Timeout for a new connection, in seconds: three round trips between
#: regions.
CONNECT_TIMEOUT_S = 0.25
#: Least time to wait for the reset of a new connection that a server does not
#: want, in seconds.
MIN_RESET_DELAY_S = 0.02
#: Time for which an idle connection may be reused, in seconds, unless the
#: target sends its own idle timeout.
DEFAULT_IDLE_TIMEOUT_S = 8.0
#: Margin below the target's own idle timeout, in seconds, because the
#: timeout may expire while a request is in flight.
IDLE_MARGIN_S = 1.5
#: Fraction of all connections to targets that may be in use at a time; the
#: others may be idle.
USED_FRACTION = 0.6


class _Pool:
    """Idle connections to one target."""

    def __init__(self) -> None:
        self.idle: collections.deque[tuple[ClientConnection, float]] = (
            collections.deque()
        )
        #: How long an idle connection may be reused, in seconds.
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S


class ConnectOutcome(msgspec.Struct, frozen=True):
    """A connection for one request, or why there is none.

    :param conn: the connection; None if it could not be opened.
    :param reused: whether it has carried a request before.
    :param error: why it could not be opened.
    """

    conn: ClientConnection | None
    reused: bool = False
    error: str = ''


class TargetConnections:
    """Connections of one entry instance to targets.

    :param now: returns monotonic time in seconds.
    :param pacer: paces answers on the link of this instance.
    :param source_host: IP address from which connections are opened; empty to
        let the system choose.
    :param most: most connections that may be open at a time.
    """

    def __init__(
        self,
        now: Callable[[], float],
        pacer: LinkPacer,
        source_host: str = '',
        most: float = math.inf,
    ) -> None:
        self.pacer = pacer
        self.shares = ConnectionShares(most * USED_FRACTION)
        self._most_idle = most * (1 - USED_FRACTION)
        self._source_host = source_host
        self._now = now
        self._pools: dict[str, _Pool] = {}
        self._chunk_budget = ChunkBudget()

    async def acquire(
        self,
        target: TargetEntry,
        left_s: float,
    ) -> ConnectOutcome:
        """Return an idle or a new connection to a target.

        :param target: the target.
        :param left_s: time that the request has left, in seconds.
        """
        pool = self._pools.setdefault(pool_key(target), _Pool())
        while pool.idle:
            conn, idle_since = pool.idle.pop()
            if self._now() - idle_since < pool.idle_timeout_s and conn.usable:
                return ConnectOutcome(conn, reused=True)
            conn.abort()
        return await self._connect(target, min(CONNECT_TIMEOUT_S, left_s))

    async def can_connect(self, target: TargetEntry) -> bool:
        """Tell whether a target accepts a new connection, and keep it.

        :param target: the target.
        """
        began_at = self._now()
        connected = await self._connect(target, CONNECT_TIMEOUT_S)
        if connected.conn is None:
            return False
        # A reset takes another round trip, as long as the connection took.
        await asyncio.sleep(max(self._now() - began_at, MIN_RESET_DELAY_S))
        if not connected.conn.usable:
            connected.conn.abort()
            return False
        self._pools.setdefault(pool_key(target), _Pool())
        self._keep(target, connected.conn)
        return True

    def release(self, target: TargetEntry, exchange: Exchange) -> None:
        """Return the connection of a finished request to its pool.

        :param target: the target.
        :param exchange: the exchange of the request.
        """
        if isinstance(exchange.conn, ClientConnection):
            self._keep(target, exchange.conn)

    def _keep(self, target: TargetEntry, conn: ClientConnection) -> None:
        """Add a connection to its pool, or close it if the pool is full."""
        pool = self._pools.get(pool_key(target))
        if pool is None:
            conn.abort()
            return
        if not conn.usable:
            return
        if len(pool.idle) >= 2 * target.slots:
            conn.abort()
            return
        pool.idle.append((conn, self._now()))
        self._bound_idle()

    def _bound_idle(self) -> None:
        """Close those that are idle for longest, if there are too many."""
        idle_count = sum(len(pool.idle) for pool in self._pools.values())
        while idle_count > self._most_idle:
            oldest = min(
                (pool for pool in self._pools.values() if pool.idle),
                key=lambda pool: pool.idle[0][1],
            )
            oldest.idle.popleft()[0].abort()
            idle_count -= 1

    def set_idle_timeout(
        self, target: TargetEntry, idle_timeout_s: float
    ) -> None:
        """Set how long a target keeps idle connections open.

        :param target: the target.
        :param idle_timeout_s: idle timeout that the target sent, in seconds.
        """
        pool = self._pools.setdefault(pool_key(target), _Pool())
        pool.idle_timeout_s = max(idle_timeout_s - IDLE_MARGIN_S, 0)

    def close_unlisted(self, targets: list[TargetEntry]) -> None:
        """Close the idle connections to targets that are not listed any more.

        :param targets: listed targets.
        """
        listed = {pool_key(target) for target in targets}
        for name in self._pools.keys() - listed:
            for conn, _ in self._pools.pop(name).idle:
                conn.abort()

    async def _connect(
        self,
        target: TargetEntry,
        timeout_s: float,
    ) -> ConnectOutcome:
        address = (target.address.host, target.address.port)
        loop = asyncio.get_running_loop()
        conn = ClientConnection(_ignore_close, self._chunk_budget)
        with contextlib.ExitStack() as cleanup:
            try:
                sock = cleanup.enter_context(self._open_socket())
                async with asyncio.timeout(timeout_s):
                    await loop.sock_connect(sock, address)
                    await loop.create_connection(lambda: conn, sock=sock)
            except TimeoutError:
                return ConnectOutcome(None, error='connect timeout')
            except OSError as exc:
                return ConnectOutcome(None, error=f'connect: {exc.strerror}')
            cleanup.pop_all()
        return ConnectOutcome(conn)

    def _open_socket(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._source_host:
            sock.bind((self._source_host, 0))
        window_bytes = self.pacer.window_bytes
        if window_bytes:
            # TCP agrees on window scaling while the connection is opened, so
            # the size is set before.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
        return sock


def pool_key(target: TargetEntry) -> str:
    """Return the key of the pool of one target incarnation.

    :param target: the target.
    """
    return f'{target.name}/{target.started_at_ms}'


def _ignore_close(_conn: ClientConnection) -> None:
    """Ignore a close: ``acquire`` skips connections that are not usable."""
