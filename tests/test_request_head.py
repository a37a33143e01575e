"""Checks of request heads beyond those of the parser.

They guard against request smuggling: a head that the gateway and a target
read in different ways.
"""

import pytest

from cuminhoist.request_head import find_head_fault

HOST = (b'host', b'shop.example')


@pytest.mark.parametrize(
    'head',
    [
        (b'GET', '1.1', b'/a?b=://c', [HOST]),
        (b'OPTIONS', '1.1', b'*', [HOST]),
        (b'GET', '1.1', b'http://shop.example', [HOST]),
        (b'GET', '1.0', b'/', []),
        (b'POST', '1.1', b'/', [HOST, (b'transfer-encoding', b'Chunked')]),
    ],
)
def test_proper_head_has_no_fault(head):
    """Guards against refusing what HTTP/1.1 permits."""
    assert not find_head_fault(*head)


@pytest.mark.parametrize(
    'head',
    [
        (b'GET', '2.0', b'/', [HOST]),
        (b'GET', '0.9', b'/', [HOST]),
        (b'CONNECT', '1.1', b'/', [HOST]),
        (b'GET', '1.1', b'/a#b', [HOST]),
        (b'GET', '1.1', b'http:///a', [HOST]),
        (b'GET', '1.1', b'a', [HOST]),
        (b'GET', '1.1', b'/', [HOST, HOST]),
        (b'GET', '1.1', b'/', [HOST, (b'host', b'other')]),
        (b'GET', '1.1', b'/', [HOST, (b'transfer-encoding', b'gzip')]),
        (
            b'POST',
            '1.1',
            b'/',
            [HOST, (b'transfer-encoding', b'gzip, chunked')],
        ),
        (
            b'POST',
            '1.1',
            b'/',
            [
                HOST,
                (b'transfer-encoding', b'gzip'),
                (b'transfer-encoding', b'chunked'),
            ],
        ),
    ],
)
def test_ambiguous_head_has_a_fault(head):
    """Guards against passing on a head that a target may read otherwise."""
    assert find_head_fault(*head)
