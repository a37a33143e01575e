"""Strategies of requests that HTTP/1.1 forbids."""

import msgspec
from hypothesis import strategies as st

from .builders import HOST

#: Sent after each improper request; it must never be read as a request.
SMUGGLED = (
    f'GET /a/smuggled HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: id2\r\n\r\n'
).encode()

_CONTROLS = [*map(chr, range(0x20)), '\x7f']
_VALUE_CONTROLS = [char for char in _CONTROLS if char != '\t']

_BAD_FRAMINGS = (
    ('Content-Length: 3', 'Content-Length: 4'),
    ('Content-Length: 4', 'Content-Length: 3'),
    ('Content-Length: 3', 'content-length: 3'),
    ('Content-Length: 3, 4',),
    ('Content-Length: +3',),
    ('Content-Length: -3',),
    ('Content-Length: 3a',),
    ('Content-Length: 0x3',),
    ('Content-Length: 99999999999999999999999',),
    ('Content-Length:',),
    ('Content-Length: 3', 'Transfer-Encoding: chunked'),
    ('Transfer-Encoding: chunked', 'Content-Length: 3'),
    ('Transfer-Encoding: chunked', 'Transfer-Encoding: identity'),
    ('Transfer-Encoding: gzip', 'Transfer-Encoding: chunked'),
    *(
        (f'Transfer-Encoding: {coding}',)
        for coding in (
            '',
            'gzip',
            'gzip, chunked',
            'chunked, gzip',
            'chunked, chunked',
            'identity',
            'xchunked',
            'chunkedx',
            'chunked;q=1',
            '"chunked"',
            '\x0bchunked',
            'chunked\x00',
        )
    ),
)
_BAD_LINES = (
    'X-Odd : x',
    'X-Odd\t: x',
    'X Odd: x',
    ': x',
    'X-Odd',
    'X-Odd: x\r\n folded',
    'X-Odd: x\n',
    'X-Odd: x\nX-More: y',
    'X-Odd: x\rX-More: y',
    'X(Odd): x',
)
_BAD_START_LINES = (
    'GET /a/x y HTTP/1.1',
    'GET /a/x#part HTTP/1.1',
    'GET /a/\u00e9 HTTP/1.1',
    'GET a/x HTTP/1.1',
    'GET  HTTP/1.1',
    'GET http:///a/x HTTP/1.1',
    f'CONNECT /a/x HTTP/1.1\r\nHost: {HOST}\r\nX-Part: 1',
    'get /a/x HTTP/1.1',
    'G T /a/x HTTP/1.1',
    'GET, /a/x HTTP/1.1',
    ' GET /a/x HTTP/1.1',
    ' /a/x HTTP/1.1',
    'GET /a/x HTTP/2.0',
    'GET /a/x HTTP/0.9',
    'GET /a/x http/1.1',
    'GET /a/x HTTP/1.1 ',
    'GET /a/x HTTP/11',
    'GET /a/x',
    'GET /a/x HTTP/1.1\n',
)
_BAD_HOSTS = (
    (),
    (f'Host: {HOST}', 'Host: other.example'),
    ('Host: other.example', f'Host: {HOST}'),
    (f'Host: {HOST}', f'Host: {HOST}'),
    (f'Host: {HOST}, other.example',),
    (f'Host: {HOST}/a',),
    (f'Host: user@{HOST}',),
    ('Host:',),
)
_BAD_CHUNKS = (
    'g\r\nabc\r\n',
    '-3\r\nabc\r\n',
    '+3\r\nabc\r\n',
    '0x3\r\nabc\r\n',
    ' 3\r\nabc\r\n',
    '3 \r\nabc\r\n',
    '3\nabc\r\n',
    '3\r\nabcd\r\n',
    '3\r\nab\r\n',
    '3\r\nabc',
    '3;a\x01\r\nabc\r\n',
    'ffffffffffffffffff\r\nabc\r\n',
    '\r\n',
)


class ImproperRequest(msgspec.Struct, frozen=True):
    """A request that HTTP/1.1 forbids, as a caller writes it.

    :param pieces: its bytes and those after it, as they are written.
    :param cut: whether the caller stops sending within the request.
    """

    pieces: tuple[bytes, ...]
    cut: bool = False


def _encode(*lines: str, body: str = '') -> bytes:
    return ('\r\n'.join((*lines, '', '')) + body).encode('latin-1')


def _pieces(draw, data: bytes) -> tuple[bytes, ...]:
    at = draw(st.integers(0, len(data) - 1))
    return tuple(piece for piece in (data[:at], data[at:]) if piece)


@st.composite
def improper_heads(draw, max_head_bytes: int) -> ImproperRequest:
    """Return a request with a head that must not be passed on.

    :param max_head_bytes: longest head that callers may send, in bytes.
    """
    start = 'POST /a/x HTTP/1.1'
    hosts: tuple[str, ...] = (f'Host: {HOST}',)
    framing: tuple[str, ...] = draw(
        st.sampled_from(
            ((), ('Content-Length: 3',), ('Transfer-Encoding: chunked',))
        )
    )
    others = ['X-Request-Id: id1']
    fault = draw(
        st.sampled_from(
            (
                'start',
                'host',
                'framing',
                'line',
                'value',
                'name',
                'target',
                'size',
            )
        )
    )
    if fault == 'start':
        start = draw(st.sampled_from(_BAD_START_LINES))
    elif fault == 'host':
        hosts = draw(st.sampled_from(_BAD_HOSTS))
    elif fault == 'framing':
        framing = draw(st.sampled_from(_BAD_FRAMINGS))
    elif fault == 'line':
        others.append(draw(st.sampled_from(_BAD_LINES)))
    elif fault == 'value':
        others.append(f'X-Odd: a{draw(st.sampled_from(_VALUE_CONTROLS))}b')
    elif fault == 'name':
        others.append(f'X-O{draw(st.sampled_from(_CONTROLS))}dd: a')
    elif fault == 'target':
        char = draw(st.sampled_from(_CONTROLS))
        start = f'POST /a/x{char}y HTTP/1.1'
    else:
        others.append(f'X-Odd: {"f" * max_head_bytes}')
    headers = draw(st.permutations([*others, *hosts]))
    body = draw(st.sampled_from(('', 'abc', '3\r\nabc\r\n0\r\n\r\n')))
    data = _encode(start, *headers, *framing, body=body) + SMUGGLED
    return ImproperRequest(_pieces(draw, data))


@st.composite
def improper_bodies(draw) -> ImproperRequest:
    """Return a request with a proper head and a body that is not whole."""
    proper_chunks = draw(
        st.lists(st.sampled_from(('3\r\nabc\r\n', 'A;x=y\r\n0123456789\r\n')))
    )
    head = (
        'POST /a/x HTTP/1.1',
        f'Host: {HOST}',
        'X-Request-Id: id1',
    )
    kind = draw(st.sampled_from(('chunk', 'cut chunks', 'cut length')))
    if kind == 'cut length':
        body = ''.join(proper_chunks)
        length = len(body) + draw(st.integers(1, 100))
        data = _encode(*head, f'Content-Length: {length}', body=body)
        return ImproperRequest(_pieces(draw, data), cut=True)
    body = ''.join(proper_chunks)
    if kind == 'chunk':
        body += draw(st.sampled_from(_BAD_CHUNKS)) + '0\r\n\r\n'
    data = _encode(*head, 'Transfer-Encoding: chunked', body=body)
    if kind == 'cut chunks':
        return ImproperRequest(_pieces(draw, data), cut=True)
    return ImproperRequest(_pieces(draw, data + SMUGGLED))
