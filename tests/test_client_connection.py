"""Answers that run into each other, repeat or break off on one connection.

The tests guard against an outcome that is read from bytes of an earlier
answer.
"""

import itertools

import pytest

from cuminhoist.client_connection import MAX_ANSWER_FIELDS
from cuminhoist.exceptions import ConnectionLostError, RemoteProtocolError

from .builders_answers import (
    SoundAnswer,
    exchange_of,
    opened_connection,
    shed_answer,
)

EARLIER = (
    shed_answer('earlier'),
    shed_answer('earlier', b'no room'),
    SoundAnswer('earlier'),
    SoundAnswer('earlier', framing='chunked'),
    SoundAnswer('earlier', framing='close'),
    SoundAnswer('earlier', 500),
    SoundAnswer('earlier', interim=True),
    SoundAnswer('earlier', 204, b'', 'close'),
)
DUE = (
    shed_answer('due'),
    SoundAnswer('due', body=b'due body'),
    SoundAnswer('due', 500, b'due failure'),
    SoundAnswer('due', 200, b'due body', 'chunked'),
    SoundAnswer('due', 200, b'due body', 'close'),
)


async def received(stream, request_id='due', ends=True, method=b'POST'):
    """Return the exchange whose connection got some bytes, and its body."""
    conn, transport = opened_connection()
    exchange = exchange_of(request_id, method)
    conn.start(exchange)
    transport.feed(stream)
    if ends:
        transport.end()
    if not exchange.complete:
        return exchange, conn, None
    body = b''
    while chunk := await exchange.read():
        body += chunk
    return exchange, conn, body


async def test_part_of_an_earlier_answer_decided_the_outcome():
    """Guards against a status of one answer with the id of another.

    The earlier answer breaks off at each of its bytes; the one that is due
    follows (TWICE, REFUSED, MIXED).
    """
    for earlier, due in itertools.product(EARLIER, DUE):
        part = earlier.encode()
        for size in range(len(part) + 1):
            exchange, _, body = await received(part[:size] + due.encode())
            assert exchange.status in {0, due.status}, (part[:size], due)
            if exchange.complete:
                assert body == due.body, (part[:size], due)


@pytest.mark.parametrize('due', DUE)
async def test_answer_in_pieces_was_refused(due):
    """Guards against a sound answer that depends on how it arrives."""
    stream = b''.join(
        answer.encode()
        for answer in (
            SoundAnswer('earlier', framing='chunked', body=b'a\r\n\r\nb'),
            shed_answer('earlier', b'HTTP/1.1 200 OK\r\n\r\n'),
            due,
        )
    )
    for size in (1, 2, 3, 7, len(stream)):
        conn, transport = opened_connection()
        exchange = exchange_of('due')
        conn.start(exchange)
        transport.feed(
            *(stream[at : at + size] for at in range(0, len(stream), size))
        )
        transport.end()
        assert exchange.complete, exchange.error
        assert exchange.status == due.status


async def test_connection_was_kept_behind_another_answer():
    """Guards against a connection that goes on out of step."""
    conn, transport = opened_connection()
    exchange = exchange_of('due')
    conn.start(exchange)
    transport.feed(SoundAnswer('earlier').encode() + DUE[1].encode())
    assert exchange.complete
    assert exchange.status == 200
    assert not conn.usable
    assert transport.closed


@pytest.mark.parametrize('due', DUE)
async def test_cut_answer_was_taken_for_a_whole_one(due):
    """Guards against the start of an answer that looks complete (MIXED).

    The target breaks off at each byte of its answer and closes or resets the
    connection.
    """
    whole = due.encode()
    head_size = whole.index(b'\r\n\r\n') + 4
    for size in range(len(whole)):
        for error in (None, ConnectionResetError()):
            conn, transport = opened_connection()
            exchange = exchange_of('due')
            conn.start(exchange)
            transport.feed(whole[:size])
            if error is None:
                transport.end()
            transport.lose(error)
            # Only an orderly close ends a body without a length.
            ends_in_order = due.framing == 'close' and error is None
            if not ends_in_order or size < head_size:
                assert not exchange.complete, (whole[:size], error)
            assert exchange.head_received is (size >= head_size)


@pytest.mark.parametrize(
    ('method', 'status'), [(b'HEAD', 200), (b'GET', 204), (b'GET', 304)]
)
async def test_answer_without_a_body_waited_for_one(method, status):
    """Guards against the next answer as the body of one that has none."""
    lines = b'HTTP/1.1 %d OK\r\nX-Request-Id: due\r\n' % status
    for framing in (b'', b'Content-Length: 5\r\n'):
        exchange, conn, body = await received(
            lines + framing + b'\r\n', ends=False, method=method
        )
        assert exchange.complete
        assert body == b''
        assert conn.usable


async def test_trailer_of_another_answer_counted():
    """Guards against a note of one answer in the headers of another (TWICE)."""
    other = SoundAnswer('earlier', framing='chunked').encode()
    for trailer in (b'X-Not-Executed: 1', b'X-Request-Id: due'):
        stream = other.removesuffix(b'\r\n') + trailer + b'\r\n\r\n'
        exchange, _, body = await received(stream + DUE[1].encode())
        assert body == DUE[1].body, exchange.error
        names = [name for name, _ in exchange.headers]
        assert names.count(b'x-request-id') == 1
        assert b'x-not-executed' not in names


@pytest.mark.parametrize('status', [b'000', b'0', b'099', b'600', b'999'])
@pytest.mark.parametrize('is_behind_interim', [False, True])
async def test_status_outside_the_protocol_was_taken(status, is_behind_interim):
    """Guards against a status that no server may send (MIXED)."""
    whole = DUE[1].encode().replace(b' 200 ', b' %b ' % status, 1)
    if is_behind_interim:
        whole = b'HTTP/1.1 103 Early Hints\r\n\r\n' + whole
    exchange, _, _ = await received(whole)
    assert not exchange.status
    assert isinstance(exchange.error, RemoteProtocolError)


@pytest.mark.parametrize('status', [b'100', b'103', b'199'])
async def test_interim_status_was_taken_for_a_final_one(status):
    """Guards against an answer that ends with an interim status (MIXED)."""
    exchange, _, _ = await received(b'HTTP/1.1 %b Wait\r\n\r\n' % status)
    assert not exchange.status
    assert isinstance(exchange.error, ConnectionLostError)


async def test_fields_without_end_were_kept():
    """Guards against a head of few bytes that takes megabytes (LOST)."""
    conn, transport = opened_connection()
    exchange = exchange_of('due')
    conn.start(exchange)
    most = SoundAnswer('due').encode().split(b'\r\n\r\n')[0]
    count = most.count(b'\r\n')
    transport.feed(most + b'\r\na: b' * (MAX_ANSWER_FIELDS - count))
    assert not exchange.ended
    transport.feed(b'\r\na: b\r\na: b\r\n')
    assert isinstance(exchange.error, RemoteProtocolError)
    assert not exchange.headers
    assert transport.closed


async def test_small_chunks_were_read_one_by_one():
    """Guards against a body whose reader wakes for each of its bytes."""
    conn, transport = opened_connection()
    exchange = exchange_of('due')
    conn.start(exchange)
    whole = SoundAnswer('due', 200, b'', 'chunked').encode()
    transport.feed(whole.removesuffix(b'0\r\n\r\n') + b'1\r\na\r\n' * 1000)
    assert await exchange.read() == b'a' * 1000
