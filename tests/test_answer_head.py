"""Heads of answers that must not be believed.

The tests guard against a head that is read from two answers, and against a
body whose end is read in two ways.
"""

import httptools
import pytest

from cuminhoist.answer_head import find_head_fault

FAULTS = {
    b'HTTP/1.1 503 SerHTTP/1.1 200 OK\r\nA: b\r\n': 'two status lines',
    b'HTTP/1.1 503 No\r\nA: 3,9HTTP/1.1 200 OK\r\n': 'two status lines',
    b'HTTP/1.1 503 No\r\nA:HTTP/1.0 200\r\n': 'two status lines',
    b'HTTP/1.1 503HTTP/1.1 200 OK\r\n': 'malformed head',
    b'HTTP/1.1 503 No\r\nHTTP/1.1 200 OK\r\n': 'malformed head',
    b'HTTP/1.1 503 No\r\nA HTTP/1.1 200 OK\r\n': 'malformed head',
    b'HTTP/1.1 503 No\rHTTP/1.1 200 OK\r\n': 'malformed head',
    b'HTTP/1.1 503 No\nA: b\r\n': 'malformed head',
    b'HTTP/1.1 503 No\r\nA: b\r\n folded\r\n': 'malformed head',
    b'HTTP/1.1 503 No\r\nA : b\r\n': 'malformed head',
    b'HTTP/1.1 503 No\r\n: b\r\n': 'malformed head',
    b'HTTP/1.1 503 No\r\nA: b\x00\r\n': 'malformed head',
    b'\r\nHTTP/1.1 200 OK\r\n': 'malformed head',
    b'HTTP/2.0 200 OK\r\n': 'malformed head',
    b'HTTP/1.1 600 OK\r\n': 'malformed head',
    b'HTTP/1.1 2000 OK\r\n': 'malformed head',
}
FRAMING_FAULTS = (
    (200, ('content-length: 1', 'content-length: 2'), 'two framings'),
    (200, ('content-length: 1', 'content-length: 1'), 'two framings'),
    (200, ('content-length: 1', 'transfer-encoding: chunked'), 'two framings'),
    (200, ('transfer-encoding: gzip, chunked',), 'unknown transfer coding'),
    (200, ('transfer-encoding: xchunked',), 'unknown transfer coding'),
    (103, ('content-length: 1',), 'an interim answer with a body'),
)
SOUND = (
    b'HTTP/1.1 200 OK\r\n\r\n',
    b'HTTP/1.1 200\r\n\r\n',
    b'HTTP/1.0 200 \r\nA:\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nServer: SimpleHTTP/0.6 Python/3.11\r\n\r\n',
    b'HTTP/1.1 200 OK\r\nVia: HTTP/1.1 front\r\nA: \xfc\t b \r\n\r\n',
    b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n',
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n',
    b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
)


def headers_of(head):
    """Return the headers of a sound head."""
    lines = head.split(b'\r\n')[1:-2]
    pairs = [line.partition(b':') for line in lines]
    return [(name.lower(), text.strip()) for name, _, text in pairs]


@pytest.mark.parametrize(('head', 'fault'), list(FAULTS.items()))
def test_unsound_head_was_believed(head, fault):
    """Guards against a status and headers of two answers (TWICE, MIXED)."""
    assert find_head_fault(head + b'\r\n', 200, []) == fault


def test_text_of_a_caller_hid_a_second_status_line():
    """Guards against an id that looks like the beginning of an answer."""
    line = b'X-Request-Id: HTTP/1.1 200 OK\r\n'
    sound = b'HTTP/1.1 200 OK\r\n' + line + b'\r\n'
    joined = b'HTTP/1.1 503 No\r\nA: b' + sound
    echoed = b'HTTP/1.1 200 OK'
    assert not find_head_fault(sound, 200, [], echoed)
    assert find_head_fault(sound, 200, []) == 'two status lines'
    assert find_head_fault(joined, 503, [], echoed) == 'two status lines'


@pytest.mark.parametrize(('status', 'lines', 'fault'), FRAMING_FAULTS)
def test_body_had_two_ends(status, lines, fault):
    """Guards against bytes of one answer that are read as another one's."""
    text = '\r\n'.join((f'HTTP/1.1 {status} OK', *lines, '', ''))
    head = text.encode()
    assert find_head_fault(head, status, headers_of(head)) == fault


@pytest.mark.parametrize('head', SOUND)
def test_sound_head_was_refused(head):
    """Guards against callers who get no answer though the target's is sound."""
    status = int(head[9:12])
    assert not find_head_fault(head, status, headers_of(head))
    httptools.HttpResponseParser(object()).feed_data(head)
