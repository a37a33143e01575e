"""Tests of methods that the HTTP parser does not know.

They guard against a proper request that is refused for its method, and against
bytes that are read in two ways.
"""

import pytest

from cuminhoist.request_method import MAX_METHOD_BYTES, MethodReader

HEAD = b' /a HTTP/1.1\r\nhost: a\r\n\r\n'


def _read(data, size):
    reader = MethodReader()
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    return b''.join(map(reader.read, pieces)), reader


@pytest.mark.parametrize('size', [1, 2, 3, 100])
@pytest.mark.parametrize('before', [b'', b'\r\n'])
def test_unknown_method_is_replaced(size, before):
    """Guards against a method that arrives in several pieces."""
    read, reader = _read(before + b'SYNC' + HEAD, size)
    assert read == before + b'POST' + HEAD
    assert reader.replaced == b'SYNC'
    assert not reader.holds_bytes


@pytest.mark.parametrize('size', [1, 100])
@pytest.mark.parametrize(
    'method',
    [
        b'GET',
        b'CONNECT',
        b'get',
        b'',
        b'S(NC',
        b'S\x00NC',
        b'SYNC\r\nX',
        b'X' * (MAX_METHOD_BYTES + 1),
    ],
)
def test_other_bytes_are_left_to_the_parser(size, method):
    """Guards against improper heads that become proper ones."""
    read, reader = _read(method + HEAD, size)
    assert read == method + HEAD
    assert not reader.replaced


def test_each_request_has_its_method():
    """Guards against a method that is taken for the next request's."""
    reader = MethodReader()
    reader.read(b'SYNC' + HEAD)
    assert reader.read(b'PING' + HEAD) == b'PING' + HEAD
    reader.end_message()
    assert not reader.replaced
    assert reader.read(b'PING' + HEAD) == b'POST' + HEAD
    assert reader.replaced == b'PING'
