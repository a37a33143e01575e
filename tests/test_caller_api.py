"""Tests of the HTTP interface for callers over raw sockets.

Malformed requests, disconnects and failing targets must neither stop the
listener nor give a caller or a target a truncated message as complete.
"""

import asyncio
import json

import pytest
from litestar import Litestar
from returns.result import Success

from cuminhoist.caller_api import MAX_BODY_BYTES, services_handler
from cuminhoist.clock import SystemClock
from cuminhoist.hop_signing import Hop, HopRequest, HopSigner
from cuminhoist.problems import Refusal
from cuminhoist.slots import SlotOutcome
from cuminhoist.target_client import (
    Answer,
    HttpxTargetClient,
    IncompleteAnswerError,
)
from cuminhoist.target_client import Attempt as TargetAttempt
from cuminhoist.types import Ran, Reason

from .builders_carry import RawServer, RunningServer, raw_target, read_head

CLOSE_HEADER_LINE = b'connection: close\r\n'


class FakeEntry:
    """Answers each request by a function and records the requests.

    :param answer: coroutine function that makes the answer to a request.
    """

    def __init__(self, answer) -> None:
        self.requests = []
        self.cancelled = asyncio.Event()
        self.started = asyncio.Event()
        self._answer = answer

    async def serve(self, req):
        """Serve a request."""
        self.requests.append(req)
        self.started.set()
        try:
            return Success(await self._answer(req))
        except asyncio.CancelledError:
            self.cancelled.set()
            raise


def start_entry(answer, hop_signer=None):
    entry = FakeEntry(answer)
    app = Litestar([services_handler(entry, hop_signer)], openapi_config=None)
    return entry, RunningServer(app)


async def echo(req):
    body = b''.join([chunk async for chunk in req.body])
    return make_answer(body)


def make_answer(*chunks, status=200, headers=()):
    async def body():
        for chunk in chunks:
            yield chunk

    return Answer(status, list(headers), body())


def request_head(path=b'/v1/services/catalogue/a', *headers, method=b'GET'):
    lines = b''.join(header + b'\r\n' for header in headers)
    return b'%b %b HTTP/1.1\r\nhost: x\r\n%b%b\r\n' % (
        method,
        path,
        lines,
        CLOSE_HEADER_LINE,
    )


def read_problem(answer):
    head, _, body = answer.partition(b'\r\n\r\n')
    assert b'application/problem+json' in head
    assert b'x-cuminhoist-refusal: 1' in head
    return json.loads(body)


TOO_MANY_HEADERS = [b'a%d: b' % number for number in range(101)]
BAD_HEADERS = {
    'deadline text': [b'x-cuminhoist-deadline-ms: soon'],
    'deadline zero': [b'x-cuminhoist-deadline-ms: 0'],
    'deadline negative': [b'x-cuminhoist-deadline-ms: -5'],
    'deadline huge': [b'x-cuminhoist-deadline-ms: 99999999999999999999'],
    'deadline other digits': [b'x-cuminhoist-deadline-ms: \xb2'],
    'caller twice': [b'x-cuminhoist-caller: a', b'x-cuminhoist-caller: a'],
    'key twice': [b'idempotency-key: a', b'Idempotency-Key: b'],
    'too many': TOO_MANY_HEADERS,
    'too large': [b'a: ' + b'x' * 33 * 1024],
    'endless': [b'a: ' + b'x' * 400 * 1024],
}


@pytest.mark.parametrize('name', BAD_HEADERS)
async def test_bad_header_is_refused(name):
    """Guards against a crash, a guessed value or a run on a bad header."""
    entry, server = start_entry(echo)
    async with server:
        problem = read_problem(
            await server.send(
                request_head(b'/v1/services/c/a', *BAD_HEADERS[name])
            )
        )
        assert (await server.send(request_head())).startswith(b'HTTP/1.1 200')
    too_large = name in {'too large', 'endless'}
    reason = 'head-too-large' if too_large else 'bad-request'
    assert (problem['ran'], problem['reason']) == ('not-run', reason)
    assert len(entry.requests) == 1


@pytest.mark.parametrize(
    'malformed_request',
    [
        b'\x16\x03\x01\x02\x00\x01\x00',
        b'GET / HTTP/9\r\n\r\n',
        b'GET /v1/services/c/a HTTP/1.1\r\nhost: x\r\na b: c\r\n\r\n',
        request_head(b'/v1/services/c/a', b'content-length: x'),
        request_head(
            b'/v1/services/c/a', b'content-length: 1', b'content-length: 2'
        ),
        request_head(b'x:1', method=b'CONNECT'),
        b'GET /v1/services/c/a HTTP/1.1\r\na: ' + b'x' * 40 * 1024,
        b'GET /v1/services/c/' + b'x' * 40 * 1024,
        request_head(b'/v1/services/'),
        request_head(b'/v1/services//a'),
        request_head(b'/v1/%73ervices/c/a'),
    ],
)
async def test_malformed_request_is_refused(malformed_request):
    """Guards against a listener that crashes on malformed HTTP."""
    entry, server = start_entry(echo)
    async with server:
        refused = await server.send(malformed_request)
        assert refused.startswith(b'HTTP/1.1 4')
        assert (await server.send(request_head())).startswith(b'HTTP/1.1 200')
    assert len(entry.requests) == 1


async def test_request_is_forwarded_unchanged():
    """Guards against decoded paths, lost headers and forged hop headers."""
    entry, server = start_entry(echo)
    async with server:
        await server.send(
            request_head(
                b'/v1/services/catalogue/a%2Fb/%C3%A9//..;x?q=%20&r',
                b'X-Own: \xe9',
                b'x-drop: 1',
                b'connection: x-drop, x-cuminhoist-caller, content-length',
                b'x-cuminhoist-caller: acme',
                b'x-cuminhoist-hop: forged',
                b'x-not-run: 1',
                b'te: trailers',
                b'x-cuminhoist-deadline-ms: 1500',
            )
        )
    req = entry.requests[0]
    assert req.service == 'catalogue'
    assert req.path == '/a%2Fb/%C3%A9//..;x?q=%20&r'
    assert (req.caller, req.deadline_s, req.hop) == ('acme', 1.5, None)
    assert req.headers == [
        (b'x-own', b'\xe9'),
        (b'x-cuminhoist-caller', b'acme'),
        (b'x-cuminhoist-deadline-ms', b'1500'),
    ]


@pytest.mark.parametrize(
    ('headers', 'body'),
    [
        ([b'content-length: 3'], b'abc'),
        ([b'content-length: 3', b'connection: content-length'], b'abc'),
        ([b'transfer-encoding: chunked'], b'1\r\na\r\n2\r\nbc\r\n0\r\n\r\n'),
    ],
)
async def test_body_reaches_the_target(headers, body):
    """Guards against a body that is lost or framed twice."""

    async def script(target, reader, writer):
        head = await target.head(reader)
        if b'chunked' in head:
            chunked_body = await reader.readuntil(b'0\r\n\r\n')
            assert chunked_body.replace(b'\r\n', b'') in (b'1a2bc0', b'3abc0')
        else:
            assert await reader.readexactly(3) == b'abc'
        writer.write(b'HTTP/1.1 201 Made\r\ncontent-length: 2\r\n\r\nok')
        await writer.drain()

    async with RawServer(script) as target:
        client = HttpxTargetClient()

        async def forward(req):
            attempt = TargetAttempt(
                req.method, req.path, req.headers, req.body, 5.0
            )
            answer = await client.send(raw_target(target.port), attempt)
            return answer.unwrap()

        _, server = start_entry(forward)
        async with server:
            request = request_head(
                b'/v1/services/c/a', *headers, method=b'POST'
            )
            answer = await server.send(request + body)
    assert answer.startswith(b'HTTP/1.1 201')
    assert b'content-length: 2\r\n' in answer
    assert answer.endswith(b'\r\n\r\nok')


async def test_expect_continue_waits_for_admission():
    """Guards against reading a body before the request has been admitted."""
    admitted = asyncio.Event()

    async def answer(req):
        await admitted.wait()
        return await echo(req)

    entry, server = start_entry(answer)
    async with server:
        reader, writer = await server.connect()
        expect_headers = [b'expect: 100-continue', b'content-length: 3']
        writer.write(
            request_head(b'/v1/services/c/a', *expect_headers, method=b'PUT')
        )
        await entry.started.wait()
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 0.05)
        admitted.set()
        head = await read_head(reader)
        assert head.startswith(b'HTTP/1.1 100')
        writer.write(b'abc')
        rest = await reader.read()
        writer.close()
    assert rest.startswith(b'HTTP/1.1 200')
    assert b'abc' in rest


@pytest.mark.parametrize(
    ('declared', 'ran'),
    [(True, 'not-run'), (False, 'unknown')],
)
async def test_body_limit(declared, ran, monkeypatch):
    """Guards against bodies over the size limit, declared or not."""
    monkeypatch.setattr('cuminhoist.caller_api.MAX_BODY_BYTES', 10)
    _, server = start_entry(echo)
    header = (
        b'content-length: 11' if declared else b'transfer-encoding: chunked'
    )
    async with server:
        request = request_head(b'/v1/services/c/a', header, method=b'PUT')
        answer = await server.send(request + b'b\r\n12345678901\r\n0\r\n\r\n')
    problem = read_problem(answer)
    assert (problem['reason'], problem['ran']) == ('body-too-large', ran)
    assert MAX_BODY_BYTES == 2**30


@pytest.mark.parametrize(
    'headers',
    [[], [b'content-length: 5']],
    ids=['no body', 'unread body'],
)
async def test_disconnect_cancels(headers):
    """Guards against work for a caller that has disconnected."""

    async def answer(req):
        await asyncio.Event().wait()

    entry, server = start_entry(answer)
    async with server:
        _, writer = await server.connect()
        writer.write(request_head(b'/v1/services/c/a', *headers))
        await entry.started.wait()
        writer.close()
        await entry.cancelled.wait()


async def test_disconnect_while_streaming_aborts():
    """Guards against a target that streams on after the disconnect."""
    aborted = asyncio.Event()

    async def body():
        while True:
            yield b'x' * 1024
            await asyncio.sleep(0.001)

    async def answer(req):
        return Answer(200, [], body(), aborted.set)

    _, server = start_entry(answer)
    async with server:
        reader, writer = await server.connect()
        writer.write(request_head())
        await read_head(reader)
        writer.close()
        await aborted.wait()


@pytest.mark.parametrize('headers', [[], [(b'content-length', b'9')]])
async def test_truncated_answer_is_not_ended(headers):
    """Guards against a truncated answer that a caller takes for complete."""
    refusal = Refusal(ran=Ran.unknown, reason=Reason.target_lost)

    async def body():
        yield b'part'
        raise IncompleteAnswerError(refusal)

    async def answer(req):
        return Answer(200, headers, body())

    _, server = start_entry(answer)
    async with server:
        raw_answer = await server.send(request_head())
    assert raw_answer.startswith(b'HTTP/1.1 200')
    assert not raw_answer.endswith(b'0\r\n\r\n')
    if headers:
        assert b'content-length: 9' in raw_answer
        assert raw_answer.endswith(b'part')


ANSWERS_BY_CASE = {
    'head': (b'HEAD', 200, [(b'content-length', b'7')], b'content-length: 7'),
    'no content': (b'GET', 204, [], b'HTTP/1.1 204'),
    'unchanged': (
        b'GET',
        304,
        [(b'etag', b'"x"'), (b'content-length', b'7')],
        b'etag: "x"',
    ),
    'date': (b'GET', 404, [(b'date', b'D'), (b'server', b'S')], b'date: D'),
}


@pytest.mark.parametrize('name', ANSWERS_BY_CASE)
async def test_answer_heads(name):
    """Guards against duplicate headers, and bodies where HTTP allows none."""
    method, status, headers, expected = ANSWERS_BY_CASE[name]
    dropped = [(b'connection', b'x-drop'), (b'x-drop', b'1'), (b'te', b'x')]

    async def answer(req):
        return make_answer(status=status, headers=[*headers, *dropped])

    _, server = start_entry(answer)
    async with server:
        raw_answer = await server.send(request_head(method=method))
    head, _, body = raw_answer.partition(b'\r\n\r\n')
    assert expected in head
    assert head.count(b'date: ') == 1
    assert head.count(b'server: ') == (name == 'date')
    assert b'x-drop' not in head
    assert body == (b'0\r\n\r\n' if status == 404 else b'')


async def test_hop_header():
    """Guards against hop headers that are forged, replayed or stripped."""
    clock = SystemClock()
    signer = HopSigner('key', 'entry-1', clock)
    entry, server = start_entry(echo, HopSigner('key', 'entry-2', clock))
    origin = Hop('entry-1', 'domain-1', 'region-1', '', 0, '')
    hop_request = HopRequest('GET', '/c/a', 'acme')
    header = signer.sign(hop_request, 'entry-2', origin, 1.0)
    request = request_head(
        b'/v1/services/c/a',
        b'x-cuminhoist-caller: acme',
        b'x-cuminhoist-hop: ' + header.encode(),
    )
    async with server:
        await server.send(request)
        problem = read_problem(await server.send(request))
        await server.send(request.replace(b'acme', b'evil'))
    assert entry.requests[0].hop.origin == 'entry-1'
    assert problem['ran'] == 'not-run'
    assert entry.requests[1].hop is None


class EntryWithTarget:
    """An entry instance that forwards to one target over raw sockets.

    :param script: serves each connection to the target.
    """

    def __init__(self, script) -> None:
        self.target = RawServer(script)
        self.client = HttpxTargetClient()
        self.outcomes = []
        _, self.server = start_entry(self._forward)

    async def __aenter__(self):
        await self.target.__aenter__()
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *_exc):
        await self.server.__aexit__()
        await self.client.close()
        await self.target.__aexit__()

    async def _forward(self, req):
        attempt = TargetAttempt(
            req.method,
            req.path,
            req.headers,
            req.body,
            60.0,
            lambda outcome, _latency: self.outcomes.append(outcome),
        )
        target = raw_target(self.target.port, connections=100)
        return (await self.client.send(target, attempt)).unwrap()


@pytest.mark.parametrize('is_answered', [False, True])
async def test_disconnect_in_an_upload_closes_the_target_connection(
    is_answered,
):
    """Guards against a truncated upload that a target takes for complete."""

    async def script(target, reader, writer):
        await target.head(reader)
        if is_answered:
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n')
        target.rest = await reader.read()
        target.closed.set()

    async with EntryWithTarget(script) as pair:
        reader, writer = await pair.server.connect()
        head = request_head(
            b'/v1/services/c/a', b'content-length: 9', method=b'PUT'
        )
        writer.write(head + b'part')
        while not pair.target.heads:
            await asyncio.sleep(0.01)
        if is_answered:
            await read_head(reader)
        writer.close()
        await pair.target.closed.wait()
    assert pair.target.rest in (b'', b'part')
    assert pair.outcomes == [SlotOutcome.unknown]


async def test_slow_target_slows_down_the_upload():
    """Guards against uploads to a slow target that fill the memory."""
    size_bytes = 64 * 2**20
    gate = asyncio.Event()

    async def script(target, reader, writer):
        await target.head(reader)
        await gate.wait()
        bytes_left = size_bytes
        while bytes_left:
            bytes_left -= len(await reader.read(2**20))
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
        await writer.drain()

    async with EntryWithTarget(script) as pair:
        reader, writer = await pair.server.connect()
        length_header = b'content-length: %d' % size_bytes
        writer.write(
            request_head(b'/v1/services/c/a', length_header, method=b'PUT')
        )
        written_bytes = 0

        async def upload():
            nonlocal written_bytes
            for _ in range(64):
                writer.write(b'x' * 2**20)
                await writer.drain()
                written_bytes += 2**20

        task = asyncio.create_task(upload())
        previous_bytes = -1
        while previous_bytes != written_bytes or not pair.target.heads:
            previous_bytes = written_bytes
            await asyncio.sleep(0.1)
        # Each of the two loopback connections buffers some MiB.
        assert written_bytes <= 24 * 2**20
        gate.set()
        await task
        answer = await reader.read()
    assert answer.startswith(b'HTTP/1.1 200')
    assert pair.outcomes == [SlotOutcome.answered]


async def test_stop_truncates_no_answer():
    """Guards against a stop that truncates answers in transfer."""
    gate = asyncio.Event()

    async def script(target, reader, writer):
        await target.head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
        writer.write(b'2\r\nab\r\n')
        await gate.wait()
        writer.write(b'2\r\ncd\r\n0\r\n\r\n')
        await writer.drain()

    async with EntryWithTarget(script) as pair:
        requests = [
            asyncio.create_task(pair.server.send(request_head()))
            for _ in range(30)
        ]
        while len(pair.target.heads) < 30:
            await asyncio.sleep(0.01)
        stopping = asyncio.create_task(pair.server.stop())
        await asyncio.sleep(0.2)
        gate.set()
        answers = await asyncio.gather(*requests)
        await stopping
    for answer in answers:
        assert answer.startswith(b'HTTP/1.1 200')
        assert answer.replace(b'4\r\nabcd', b'2\r\nab\r\n2\r\ncd').endswith(
            b'2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n'
        )
    assert pair.outcomes == [SlotOutcome.answered] * 30


async def test_internal_error_is_a_refusal():
    """Guards against an internal error that looks like a target's answer."""

    async def answer(req):
        raise ValueError

    _, server = start_entry(answer)
    async with server:
        assert (
            read_problem(await server.send(request_head()))['ran'] == 'unknown'
        )
