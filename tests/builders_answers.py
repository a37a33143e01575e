"""Builds answers of targets and feeds them to a client connection."""

import asyncio
import random
import socket
from collections.abc import Callable

import msgspec

from cuminhoist.chunk_budget import ChunkBudget
from cuminhoist.client_connection import ClientConnection
from cuminhoist.exchange import Echo, Exchange, RequestHead

ID_HEADER = b'x-request-id'
INTERIM_HEAD = b'HTTP/1.1 100 Continue\r\n\r\n'
_PARTS = 5

#: A socket that never becomes readable, as that of a sound idle connection.
_QUIET_SOCKETS = socket.socketpair()


class SoundAnswer(msgspec.Struct, frozen=True):
    """An answer as a sound target writes it.

    :param framing: how its body ends: ``length``, ``chunked`` or ``close``.
    :param not_run: whether it states that the request has not run.
    """

    request_id: str
    status: int = 200
    body: bytes = b'whole'
    framing: str = 'length'
    not_run: bool = False
    interim: bool = False
    has_trailer: bool = False

    def encode(self) -> bytes:
        """Return its bytes."""
        lines = [
            f'HTTP/1.1 {self.status} Some Reason',
            f'X-Request-Id: {self.request_id}',
            'X-Not-Executed: 1' if self.not_run else 'X-Server-Stamp: 3e.07',
            'X-Server-Load: 3,9,3',
        ]
        if self.framing == 'chunked':
            lines.append('Transfer-Encoding: chunked')
        elif self.framing == 'length':
            lines.append(f'Content-Length: {len(self.body)}')
        head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
        interim = INTERIM_HEAD if self.interim else b''
        return interim + head + self._framed_body()

    def _framed_body(self) -> bytes:
        if self.framing != 'chunked':
            return self.body
        half = len(self.body) // 2
        chunks = [part for part in (self.body[:half], self.body[half:]) if part]
        framed = [b'%x\r\n%b\r\n' % (len(part), part) for part in chunks]
        trailer = b'X-Not-Executed: 1\r\n' if self.has_trailer else b''
        return b''.join(framed) + b'0\r\n' + trailer + b'\r\n'


def shed_answer(request_id: str, body: bytes = b'') -> SoundAnswer:
    """Return the answer to a request that a target has not run."""
    return SoundAnswer(request_id, 503, body, not_run=True)


class FedTransport(asyncio.Transport):
    """A transport that reports what is written to it and sends nothing.

    :param conn: the connection that uses it.
    """

    def __init__(self, conn: ClientConnection) -> None:
        super().__init__()
        self.on_write: Callable[[bytes], None] = lambda _sent: None
        self.closed = False
        self.paused = False
        self._conn = conn
        conn.connection_made(self)

    def set_write_buffer_limits(self, high=None, low=None):
        """Ignore the limits: nothing is buffered."""

    def get_extra_info(self, name, default=None):
        return _QUIET_SOCKETS[0]

    def write(self, data):
        self.on_write(bytes(data))

    def writelines(self, list_of_data):
        self.write(b''.join(list_of_data))

    def pause_reading(self):
        """Note the pause; what is fed arrives all the same."""
        self.paused = True

    def resume_reading(self):
        """Note the end of the pause."""
        self.paused = False

    def abort(self):
        self.lose(None)

    def feed(self, *parts: bytes) -> None:
        """Let the connection receive bytes, as long as it is open."""
        for part in parts:
            if part and not self.closed:
                self._conn.data_received(part)

    def feed_read(self, stream: bytes) -> int:
        """Let the connection read once; return how many bytes it took."""
        buffer = self._conn.get_buffer(-1)
        size = min(len(buffer), len(stream))
        buffer[:size] = stream[:size]
        self._conn.buffer_updated(size)
        return size

    @property
    def has_exchange(self) -> bool:
        """Whether the connection is open and waits for an answer."""
        return not self.closed and self._conn._exchange is not None

    def end(self) -> None:
        """Let the server close the connection in order."""
        if not self.closed:
            self._conn.eof_received()
            self.lose(None)

    def lose(self, exc: Exception | None) -> None:
        """Close the connection, such as after a reset."""
        if not self.closed:
            self.closed = True
            self._conn.connection_lost(exc)


def opened_connection(
    budget: ChunkBudget | None = None,
) -> tuple[ClientConnection, FedTransport]:
    """Return an established connection and its transport."""
    conn = ClientConnection(lambda _conn: None, budget)
    return conn, FedTransport(conn)


def exchange_of(request_id: str, method: bytes = b'POST') -> Exchange:
    """Return a complete request whose answer repeats its id."""
    exchange = Exchange(
        RequestHead(method, b'/a', [(ID_HEADER, request_id.encode())]),
        lambda _ended: None,
        Echo(ID_HEADER, request_id.encode()),
    )
    exchange.upload_complete = True
    return exchange


def split(stream: bytes, rng: random.Random) -> list[bytes]:
    """Return bytes in a few parts that are cut at random."""
    cuts = sorted(rng.randint(0, len(stream)) for _ in range(_PARTS - 1))
    return [
        stream[start:end]
        for start, end in zip([0, *cuts], [*cuts, len(stream)], strict=True)
    ]
