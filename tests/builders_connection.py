"""A caller's connection without sockets, and requests for its parser."""

import asyncio
import dataclasses
import itertools
import re
from typing import Any

import uvicorn
from hypothesis import strategies as st
from uvicorn.server import ServerState

from cuminhoist.caller_connection import CallerConnection
from cuminhoist.caller_memory import CallerMemory, MemoryLimits
from cuminhoist.parsing_pace import callers_budget

#: Turns of the loop within which the application answers a request.
_TURNS = 12
_HEAD = re.compile(rb'HTTP/1.1 (\d+) .*?\r\n\r\n', re.DOTALL)


class StuckError(Exception):
    """The parser has taken more steps than there were bytes."""


class MemoryTransport(asyncio.Transport):
    """Keeps what is written to it.

    :param conn: the protocol that is told when the connection ends.
    """

    def __init__(self, conn: asyncio.Protocol) -> None:
        super().__init__()
        self.written = b''
        self.ended = False
        self._conn = conn

    def write(self, data) -> None:
        self.written += data

    def write_eof(self) -> None:
        self.ended = True

    def close(self) -> None:
        if not self.is_closing():
            self.ended = True
            asyncio.get_running_loop().call_soon(
                self._conn.connection_lost, None
            )

    def abort(self) -> None:
        self.close()

    def is_closing(self) -> bool:
        return self.ended

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Ignore the limits: nothing is held."""

    def pause_reading(self) -> None:
        """Ignore that no bytes are wanted: the test brings few."""

    def resume_reading(self) -> None:
        """Ignore that bytes are wanted again."""


class SteppedConnection(CallerConnection):
    """Counts the steps of the parser, and fails if it does not get on."""

    #: Steps that are left.
    steps = 0

    def receive(self, data: bytes) -> None:
        """Receive bytes; each step may take one, and one step may take none."""
        self.steps += len(data) + 1
        if not self.transport.is_closing():
            self.data_received(data)

    def _cut(self, data: bytes) -> tuple[bytes, bytes]:
        self.steps -= 1
        if self.steps < 0:
            raise StuckError(data)
        return super()._cut(data)


async def echo(scope: Any, receive: Any, send: Any) -> None:
    """Answer with the path and the body of a request."""
    content = scope['path'].encode() + b' '
    pipelined = scope['state']['pipelined_request']
    await pipelined.wait_to_start(overlaps=True)
    event = {'more_body': True}
    while event.get('more_body'):
        event = await receive()
        content += event.get('body', b'')
    headers = [(b'content-length', b'%d' % len(content))]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': content})


def connect() -> tuple[SteppedConnection, MemoryTransport]:
    """Return a connection to the echo, and its transport; needs a loop."""
    server_state = ServerState()
    server_state.memory = CallerMemory(MemoryLimits())
    server_state.parsing_budget = callers_budget()
    server_state.overlaps_requests = True
    conn = SteppedConnection(
        uvicorn.Config(echo, interface='asgi3', log_config=None),
        server_state,
        {},
    )
    transport = MemoryTransport(conn)
    conn.connection_made(transport)
    return conn, transport


async def exchange(pieces: list[bytes]) -> MemoryTransport:
    """Receive pieces of a stream of requests and answer them.

    :param pieces: the pieces; the loop turns after each.
    """
    conn, transport = connect()
    for piece in pieces:
        conn.receive(piece)
        await asyncio.sleep(0)
    requests_at_most = sum(map(len, pieces)) // 16 + 1
    for _ in range(_TURNS * min(requests_at_most, 16)):
        await asyncio.sleep(0)
    if not transport.is_closing():
        transport.close()
        await asyncio.sleep(0)
    return transport


def final_answers(written: bytes) -> list[tuple[int, bytes]]:
    """Return statuses and bodies of all answers but the interim ones."""
    answers = []
    while written:
        head = _HEAD.match(written)
        assert head, written
        written = written[head.end() :]
        status = int(head[1])
        if status == 100:
            continue
        length = re.search(rb'content-length: (\d+)', head[0])
        size = int(length[1]) if length else 0
        answers.append((status, written[:size]))
        written = written[size:]
    return answers


@dataclasses.dataclass(frozen=True)
class ProperRequest:
    """A proper request.

    :param path: its path.
    :param body: its body.
    :param lines: further lines of its head.
    :param chunk_bytes: size of its chunks; 0 for a body with a length, None
        for a request without framing.
    :param ends: whether its answer ends the connection.
    """

    path: str
    body: bytes = b''
    lines: tuple[str, ...] = ()
    chunk_bytes: int | None = None
    ends: bool = False

    def encode(self) -> bytes:
        """Return the bytes of the request."""
        method, framing, content = 'POST', (), self.body
        if self.chunk_bytes:
            framing = ('Transfer-Encoding: chunked',)
            starts = range(0, len(self.body), self.chunk_bytes)
            chunks = [self.body[at : at + self.chunk_bytes] for at in starts]
            content = b''.join(
                b'%x\r\n%b\r\n' % (len(chunk), chunk) for chunk in chunks
            )
            content += b'0\r\n\r\n'
        elif self.chunk_bytes is None:
            method, content = 'GET', b''
        else:
            framing = (f'Content-Length: {len(self.body)}',)
        lines = (f'{method} {self.path} HTTP/1.1', 'Host: x')
        head = '\r\n'.join((*lines, *self.lines, *framing, '', ''))
        return head.encode() + content

    def answer(self) -> tuple[int, bytes]:
        """Return the answer that the echo gives."""
        body = self.body if self.chunk_bytes is not None else b''
        return 200, self.path.encode() + b' ' + body


@st.composite
def proper_requests(draw) -> ProperRequest:
    """Draw a request with any framing, with an upgrade or an expectation."""
    lines = draw(
        st.sampled_from(
            (
                (),
                ('Connection: Upgrade', 'Upgrade: h2c'),
                ('Connection: upgrade, http2-settings', 'Upgrade: websocket'),
                ('Upgrade: h2c',),
                ('Connection: close',),
            )
        )
    )
    expects = draw(st.booleans())
    return ProperRequest(
        f'/{draw(st.integers(0, 99))}',
        draw(st.sampled_from((b'', b'', b'x', b'GET / HTTP/1.1\r\n\r\n'))),
        (*lines, 'Expect: 100-continue') if expects else lines,
        draw(st.sampled_from((None, 0, 0, 1, 7))),
        # A parser can't tell whether bytes behind a request with an upgrade
        # are of the other protocol, so that none are read.
        ends=any(line.startswith('Connection') for line in lines),
    )


@st.composite
def streams(draw, requests=proper_requests()):
    """Draw requests and the pieces in which their bytes arrive."""
    sent = draw(st.lists(requests, min_size=1, max_size=6))
    content = b''.join(req.encode() for req in sent)
    size = draw(st.sampled_from((1, 1, 3, 40, len(content))))
    cuts = draw(st.lists(st.integers(0, len(content)), max_size=3))
    ends = sorted({*cuts, *range(size, len(content), size), len(content)})
    return sent, [
        content[begin:end] for begin, end in itertools.pairwise([0, *ends])
    ]
