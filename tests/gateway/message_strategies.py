"""Strategies of requests that HTTP/1.1 permits, and the target they reach."""

import asyncio
import contextlib
import string

import h11
import msgspec
from hypothesis import strategies as st

from cuminhoist.fleet.instance_config import Address

from .builders import HOST

_TOKEN = string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~"
_SEGMENT = string.ascii_letters + string.digits + "-._~!$&'()*+,;=:@"
_ESCAPES = ('%20', '%2F', '%2e', '%C3%A9', '%00', '%25')
#: Headers that a gateway or the two connections use for themselves.
_RESERVED = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-deadline-ms',
        'x-expect-instance',
        'x-request-id',
    )
)


#: Header and empty line that end a head of the full size.
_FILLER_FRAME = '\r\nx-filler: \r\n\r\n'


class SentRequest(msgspec.Struct, frozen=True):
    """A request as a caller writes it, and what a target must receive.

    :param pieces: its bytes, in the pieces in which they are written.
    :param method: method of the request.
    :param target: path and query.
    :param headers: headers that are passed on, names in lower case.
    :param body: body of the request.
    """

    pieces: tuple[bytes, ...]
    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class ReceivedRequest(msgspec.Struct, frozen=True):
    """A request as a target received it."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class StrictTarget:
    """A target that reads requests with a strict parser and answers them.

    It records each whole request, and each head even if its body is not
    whole.
    """

    def __init__(self) -> None:
        self.heads: list[h11.Request] = []
        self.received: list[ReceivedRequest] = []
        self._server: asyncio.Server | None = None

    async def start(self) -> Address:
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return Address(host, port)

    def stop(self) -> None:
        """Close the listener."""
        self._server.close()

    async def _serve(self, reader, writer) -> None:
        conn = h11.Connection(h11.SERVER, max_incomplete_event_size=2**20)
        with contextlib.suppress(
            ConnectionError, asyncio.CancelledError, h11.RemoteProtocolError
        ):
            while True:
                head, body = None, b''
                while not isinstance(
                    event := conn.next_event(), h11.EndOfMessage
                ):
                    if event is h11.NEED_DATA:
                        conn.receive_data(await reader.read(65536))
                    elif isinstance(event, h11.Request):
                        head = event
                        self.heads.append(event)
                    elif isinstance(event, h11.Data):
                        body += bytes(event.data)
                    elif isinstance(event, h11.ConnectionClosed):
                        writer.close()
                        return
                self.received.append(
                    ReceivedRequest(
                        head.method, head.target, tuple(head.headers), body
                    )
                )
                request_id = dict(head.headers).get(b'x-request-id', b'')
                answer = h11.Response(
                    status_code=200,
                    headers=[
                        (b'x-request-id', request_id),
                        (b'x-server-stamp', b'stamp'),
                        (b'content-length', b'5'),
                    ],
                )
                writer.write(
                    conn.send(answer)
                    + conn.send(h11.Data(b'whole'))
                    + conn.send(h11.EndOfMessage())
                )
                if conn.our_state is not h11.DONE:
                    writer.close()
                    return
                conn.start_next_cycle()


def _host_spellings() -> st.SearchStrategy[str]:
    cases = st.lists(st.booleans(), min_size=len(HOST), max_size=len(HOST))
    name = cases.map(
        lambda upper: ''.join(
            letter.upper() if is_upper else letter
            for letter, is_upper in zip(HOST, upper, strict=True)
        )
    )
    return st.builds(
        '{}{}{}'.format,
        name,
        st.sampled_from(('', '.')),
        st.sampled_from(('', ':80', ':8548', ':')),
    )


def _texts(alphabet: str, **sizes: int) -> st.SearchStrategy[str]:
    return st.text(st.sampled_from(alphabet), **sizes)


def _paths() -> st.SearchStrategy[str]:
    part = st.one_of(
        _texts(_SEGMENT, max_size=12), st.sampled_from((*_ESCAPES, '/'))
    )
    return st.lists(part, max_size=5).map(lambda parts: '/a/' + ''.join(parts))


def _queries() -> st.SearchStrategy[str]:
    part = st.one_of(
        _texts(f'{_SEGMENT}/?', max_size=12), st.sampled_from(_ESCAPES)
    )
    text = st.lists(part, max_size=4).map(''.join)
    return st.one_of(st.just(''), text.map('?{}'.format))


def _headers() -> st.SearchStrategy[list[tuple[str, str]]]:
    name = _texts(_TOKEN, min_size=1, max_size=20).filter(
        lambda text: text.lower() not in _RESERVED
    )
    visible = st.characters(
        codec='latin-1', exclude_categories=(), min_codepoint=0x21
    ).filter(lambda char: not '\x7f' <= char <= '\x9f' or char >= '\x80')
    content = st.text(
        st.one_of(visible, st.sampled_from('\t ')), max_size=30
    ).map(lambda text: text.replace('\x7f', '').strip('\t '))
    return st.lists(st.tuples(name, content), max_size=12)


def _chunked(body: bytes, size: int, extension: str, trailer: str) -> bytes:
    parts = [
        b'%x%b\r\n%b\r\n' % (len(piece), extension.encode(), piece)
        for piece in (
            body[start : start + size] for start in range(0, len(body), size)
        )
    ]
    return b''.join(parts) + b'0\r\n' + trailer.encode() + b'\r\n'


def _cut(data: bytes, positions: list[int]) -> tuple[bytes, ...]:
    edges = sorted({position % len(data) for position in positions} | {0})
    return tuple(
        data[start:end]
        for start, end in zip(edges, [*edges[1:], len(data)], strict=True)
    )


@st.composite
def proper_requests(draw, max_head_bytes: int) -> SentRequest:
    """Return a request that HTTP/1.1 permits and that matches the route.

    :param max_head_bytes: longest head, in bytes.
    """
    method = draw(
        st.sampled_from(('GET', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'))
    )
    host = draw(_host_spellings())
    target = draw(_paths()) + draw(_queries())
    origin = draw(st.sampled_from(('', f'http://{host}')))
    body = draw(st.binary(max_size=400))
    framing = draw(st.sampled_from(('none', 'length', 'chunks')))
    if framing == 'none':
        body = b''
    headers = draw(_headers())
    lines = [
        f'{method} {origin}{target} HTTP/1.1',
        f'{draw(st.sampled_from(("Host", "host", "HOST")))}: {host}',
        'X-Request-Id: id1',
        'x-deadline-ms: 5000',
    ]
    padding = draw(st.sampled_from(('', ' ', '  ', '\t')))
    lines += [f'{name}:{padding}{text}{padding}' for name, text in headers]
    coded = body
    if framing == 'length':
        lines.append(f'Content-Length: {len(body)}')
    elif framing == 'chunks':
        lines.append('Transfer-Encoding: chunked')
        coded = _chunked(
            body,
            draw(st.integers(1, 400)),
            draw(st.sampled_from(('', ';a', ';a=b;c="d e"'))),
            draw(st.sampled_from(('', 'X-Sum: 1\r\n', 'Host: other\r\n'))),
        )
    head = '\r\n'.join(lines)
    if draw(st.booleans()):
        filler = 'f' * (max_head_bytes - len(head) - len(_FILLER_FRAME))
        head = f'{head}{_FILLER_FRAME[:-4]}{filler}'
        headers = [*headers, ('x-filler', filler)]
    data = f'{head}\r\n\r\n'.encode('latin-1') + coded
    return SentRequest(
        _cut(data, draw(st.lists(st.integers(0, len(data) - 1), max_size=3))),
        method.encode(),
        target.encode(),
        tuple(
            (name.lower().encode(), text.encode('latin-1'))
            for name, text in headers
        ),
        body,
    )
