"""Tests of the framing of request bodies.

They guard against bytes after a body that are taken for a part of it, and
against bodies that change on the way to the parser.
"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cuminhoist.request_body_framing import MAX_LINE_BYTES, find_framing

CHUNKED = [(b'transfer-encoding', b'chunked')]
NEXT = b'GET /a HTTP/1.1\r\n\r\n'
_SPACES = st.sampled_from(['', ' ', '\t', ' \t '])
_NAMES = st.text('abcXYZ0-9!', min_size=1, max_size=4)
_TEXTS = st.one_of(
    _NAMES,
    st.text('ab;= ', max_size=4).map(lambda text: f'"{text}"'),
    st.just(r'"\"\\"'),
)


@st.composite
def _extensions(draw):
    parts = []
    for _ in range(draw(st.integers(0, 2))):
        parts += [draw(_SPACES), ';', draw(_SPACES), draw(_NAMES)]
        if draw(st.booleans()):
            parts += [draw(_SPACES), '=', draw(_SPACES), draw(_TEXTS)]
    return ''.join(parts).encode()


def _cut(headers, data, cuts):
    framing = find_framing(headers)
    bounds = [0, *sorted(cuts), len(data)]
    body = b''
    after = b''
    for start, end in zip(bounds, bounds[1:], strict=False):
        if after:
            after += data[start:end]
            continue
        piece, after = framing.cut(data[start:end])
        body += piece
    return body, after


@given(
    chunks=st.lists(st.binary(min_size=1, max_size=20), max_size=4),
    extensions=st.lists(_extensions(), min_size=5, max_size=5),
    trailers=st.sampled_from([b'', b'x-a: b\r\n', b'x-a: b\r\nx-c:\r\n']),
    cuts=st.lists(st.integers(0, 200), max_size=6),
)
def test_chunks_lose_their_extensions_only(chunks, extensions, trailers, cuts):
    """Guards against chunks whose headers or ends are misread."""
    sent = expected = b''
    for chunk, extension in zip([*chunks, b''], extensions, strict=False):
        size = b'%x' % len(chunk)
        content = chunk + b'\r\n' if chunk else trailers + b'\r\n'
        sent += size + extension + b'\r\n' + content
        expected += size + b'\r\n' + content
    sent += NEXT
    cuts = [min(cut, len(sent)) for cut in cuts]
    assert _cut(CHUNKED, sent, cuts) == (expected, NEXT)


@pytest.mark.parametrize(
    'body',
    [
        b'2 \r\nab\r\n0\r\n\r\n',
        b'2;\r\nab\r\n0\r\n\r\n',
        b'2 a\r\nab\r\n0\r\n\r\n',
        b'2;a="b\r\nab\r\n0\r\n\r\n',
        b'2;a\x00\r\nab\r\n0\r\n\r\n',
        b'2\nab\n0\n\n',
        b'-2\r\nab\r\n0\r\n\r\n',
        b'00000000000000002\r\nab\r\n0\r\n\r\n',
        b'\r\nab\r\n0\r\n\r\n',
        b'2;' + b'a' * MAX_LINE_BYTES + b'\r\nab\r\n0\r\n\r\n',
    ],
)
def test_improper_chunks_are_left_to_the_parser(body):
    """Guards against improper chunks that become proper ones."""
    assert find_framing(CHUNKED).cut(body + NEXT) == (body + NEXT, b'')


@given(
    content=st.binary(max_size=20),
    cuts=st.lists(st.integers(0, 20), max_size=3),
)
def test_body_of_known_length_ends(content, cuts):
    """Guards against a request that is read as a body's end."""
    headers = [(b'content-length', b'%d' % len(content))]
    sent = content + NEXT
    body, after = _cut(headers, sent, [min(cut, len(content)) for cut in cuts])
    assert body == content
    assert after == NEXT
