"""Connections to targets, kept for each start of a target."""

import asyncio
import collections
import contextlib
import socket
from collections.abc import Callable

import msgspec

from ..client_connection import ClientConnection
from ..exchange import Exchange
from ..steering.targets import TargetEntry
from .pacing import LinkPacer

#: Time for a new connection within a region and between regions: three
#: round trips between regions.
CONNECT_S = 0.25
#: Idle connections are used for this long unless the target says less.
IDLE_S = 8.0
#: Margin below the target's own idle timeout, which may run out while a
#: request is on its way.
IDLE_MARGIN_S = 1.5


class _Pool:
    """Idle connections to one target.

    :param idle_s: how long an idle connection may be used.
    """

    def __init__(self) -> None:
        self.idle: collections.deque[tuple[ClientConnection, float]] = (
            collections.deque()
        )
        self.idle_s = IDLE_S


class ConnectOutcome(msgspec.Struct, frozen=True):
    """A connection for one request, or why there is none.

    :param reused: whether it has carried a request before.
    """

    conn: ClientConnection | None
    reused: bool = False
    error: str = ''


class TargetConnections:
    """Takes connections to targets and gives them back.

    :param now: returns monotonic time in seconds.
    :param link: what the link of this instance carries.
    """

    def __init__(self, now: Callable[[], float], link: LinkPacer) -> None:
        self.link = link
        self._now = now
        self._pools: dict[str, _Pool] = {}

    async def acquire(
        self,
        target: TargetEntry,
        left_s: float,
    ) -> ConnectOutcome:
        """Return a connection to a target.

        :param target: the target.
        :param left_s: time that the request has left, in seconds.
        """
        pool = self._pools.setdefault(pool_key(target), _Pool())
        while pool.idle:
            conn, since = pool.idle.pop()
            if self._now() - since < pool.idle_s and conn.usable:
                return ConnectOutcome(conn, reused=True)
            conn.abort()
        return await self._connect(target, min(CONNECT_S, left_s))

    def release(self, target: TargetEntry, exchange: Exchange) -> None:
        """Keep the connection of a finished request if it can be used.

        :param target: the target.
        :param exchange: the request.
        """
        conn = exchange.conn
        pool = self._pools.get(pool_key(target))
        if (
            not isinstance(conn, ClientConnection)
            or not conn.usable
            or pool is None
        ):
            return
        if len(pool.idle) >= 2 * target.slots:
            conn.abort()
            return
        pool.idle.append((conn, self._now()))

    def note_idle_limit(self, target: TargetEntry, idle_s: float) -> None:
        """Remember how long a target keeps idle connections.

        :param target: the target.
        :param idle_s: what it says, in seconds.
        """
        pool = self._pools.setdefault(pool_key(target), _Pool())
        pool.idle_s = max(idle_s - IDLE_MARGIN_S, 0)

    def close_unlisted(self, targets: list[TargetEntry]) -> None:
        """Close the connections to all other targets.

        :param targets: those that are still listed.
        """
        kept = {pool_key(target) for target in targets}
        for name in self._pools.keys() - kept:
            for conn, _ in self._pools.pop(name).idle:
                conn.abort()

    async def _connect(
        self,
        target: TargetEntry,
        timeout_s: float,
    ) -> ConnectOutcome:
        address = (target.address.host, target.address.port)
        loop = asyncio.get_running_loop()
        conn = ClientConnection(_ignore_loss)
        with contextlib.ExitStack() as unused:
            sock = unused.enter_context(self._open_socket())
            try:
                async with asyncio.timeout(timeout_s):
                    await loop.sock_connect(sock, address)
                    await loop.create_connection(lambda: conn, sock=sock)
            except TimeoutError:
                return ConnectOutcome(None, error='connect timeout')
            except OSError as exc:
                return ConnectOutcome(None, error=f'connect: {exc.strerror}')
            unused.pop_all()
        return ConnectOutcome(conn)

    def _open_socket(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        window = self.link.window_bytes
        if window:
            # The window is agreed on while the connection is opened.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        return sock


def pool_key(target: TargetEntry) -> str:
    """Return the identity of one start of a target.

    :param target: the target.
    """
    return f'{target.name}/{target.started_at_ms}'


def _ignore_loss(_conn: ClientConnection) -> None:
    """Drop the notice: a closed connection is found when it is taken."""
