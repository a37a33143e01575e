"""What clients send that keep to no limit."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Iterator

import msgspec

from .builders import HOST, MAX_HEAD_BYTES, MAX_SOCKETS

#: Time for which a crowd sends before an ordinary client comes, in seconds.
AHEAD_S = 2.0
#: Bytes of one write.
_BLOCK_BYTES = 64 * 1024
#: Fields of four bytes and the line end, in bytes.
_SHORT_FIELD = b'a: b\r\n'


class Kind(msgspec.Struct, frozen=True):
    """One kind of crowd.

    :param connections: number of its connections.
    :param start: what each connection sends first; the path of the port is
        put in.
    :param endless: what each connection sends after that, repeated.
    :param limit_bytes: what one connection sends at most, in bytes.
    :param path: path of the requests; empty for the ordinary one of the port.
    """

    connections: int
    start: bytes
    endless: bytes = b''
    limit_bytes: int = 100_000_000
    path: str = ''

    def blocks(self, path: str) -> Iterator[bytes]:
        """Yield what one connection sends.

        :param path: path of the ordinary request of the port.
        """
        yield self._with_path(self.start, path)
        piece = self._with_path(self.endless, path)
        if not piece:
            return
        block = piece * max(_BLOCK_BYTES // len(piece), 1)
        left = self.limit_bytes
        while left > 0:
            yield block
            left -= len(block)

    def _with_path(self, content: bytes, path: str) -> bytes:
        return content.replace(b'{path}', (self.path or path).encode())


def _head(line: bytes, *fields: bytes) -> bytes:
    return b''.join(
        (
            line,
            b' {path} HTTP/1.1\r\nhost: ',
            HOST.encode(),
            b'\r\nx-request-id: crowd\r\nx-deadline-ms: 20000\r\n',
            *(field + b'\r\n' for field in fields),
        )
    )


_GET = _head(b'GET') + b'\r\n'
_CHUNKED = _head(b'PUT', b'transfer-encoding: chunked') + b'\r\n'
_SHORT_FIELDS = _SHORT_FIELD * ((MAX_HEAD_BYTES - 300) // len(_SHORT_FIELD))

KINDS = {
    'requests-ahead': Kind(100, b'', _GET),
    'requests-ahead-of-few': Kind(8, b'', _GET),
    'requests-ahead-with-bodies': Kind(
        100,
        b'',
        _head(b'GET', b'content-length: 20000') + b'\r\n' + bytes(20000),
    ),
    'short-fields': Kind(100, b'', _head(b'GET') + _SHORT_FIELDS + b'\r\n'),
    'endless-heads': Kind(300, _head(b'GET') + _SHORT_FIELDS, b''),
    'one-endless-head': Kind(20, _head(b'GET'), _SHORT_FIELD),
    'empty-lines': Kind(40, b'', b'\r\n'),
    'small-chunks': Kind(20, _CHUNKED, b'1\r\nx\r\n'),
    'endless-trailers': Kind(40, _CHUNKED + b'0\r\n', _SHORT_FIELD),
    'endless-body': Kind(
        40,
        _head(b'PUT', b'content-length: 64000000') + b'\r\n',
        b'x' * 1000,
        16_000_000,
    ),
    'stopped-bodies': Kind(
        300,
        _head(b'PUT', b'content-length: 64000000') + b'\r\n',
        b'x' * 1000,
        200_000,
    ),
    'silent-connections': Kind(MAX_SOCKETS + 50, b''),
}
#: Kinds that need a path of the callers' port.
CALLER_KINDS = {
    'large-answers': Kind(40, b'', _GET, path='/browse/large'),
    'unanswered-requests': Kind(100, b'', _GET, path='/silent/1'),
    'unknown-host': Kind(
        40, b'', b'GET / HTTP/1.1\r\nhost: unknown.example\r\n\r\n'
    ),
}
#: Kinds on the port for links between instances, which is no HTTP.
LINK_KINDS = {
    'large-frames': Kind(
        40, struct.pack('<I', 60_000_000), b'x' * 1000, 16_000_000
    ),
    'unknown-frames': Kind(20, b'', struct.pack('<I', 4) + b'none'),
    'silent-connections': KINDS['silent-connections'],
}


class Crowd:
    """The connections of one crowd; it reads nothing.

    :param kind: what it sends.
    :param address: host and port that it connects to.
    :param path: path of the ordinary request there.
    :param share: fraction of the connections of its kind that it opens.
    """

    def __init__(
        self,
        kind: Kind,
        address: tuple[str, int],
        path: str,
        share: float = 1,
    ) -> None:
        self._kind = kind
        self._count = round(kind.connections * share)
        self._address = address
        self._path = path
        self._sockets: list[socket.socket] = []

    async def press(self) -> None:
        """Connect and send until cancelled; hold the connections then."""
        await asyncio.gather(*(self._send() for _ in range(self._count)))

    def leave(self) -> None:
        """Close all connections."""
        while self._sockets:
            self._sockets.pop().close()

    async def _send(self) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        with contextlib.suppress(OSError):
            await loop.sock_connect(sock, self._address)
            for block in self._kind.blocks(self._path):
                await loop.sock_sendall(sock, block)


@contextlib.asynccontextmanager
async def pressed(crowds: list[Crowd]):
    """Let crowds in, and out at the end.

    :param crowds: the crowds; they have sent for ``AHEAD_S`` at first.
    """
    pressing = [asyncio.create_task(crowd.press()) for crowd in crowds]
    try:
        await asyncio.wait(pressing, timeout=AHEAD_S)
        yield
    finally:
        for task in pressing:
            task.cancel()
        await asyncio.gather(*pressing, return_exceptions=True)
        for crowd in crowds:
            crowd.leave()
