"""Tests of the HTTP interface for callers over raw sockets."""

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

CLOSE = b'connection: close\r\n'


class FakeEntry:
    """Answers each request through a function and keeps the requests."""

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


def running(answer, hops=None):
    entry = FakeEntry(answer)
    app = Litestar([services_handler(entry, hops)], openapi_config=None)
    return entry, RunningServer(app)


async def echo(req):
    body = b''.join([chunk async for chunk in req.body])
    return fixed(body)


def fixed(*parts, status=200, headers=()):
    async def body():
        for part in parts:
            yield part

    return Answer(status, list(headers), body())


def get(path=b'/v1/services/catalogue/a', *headers, method=b'GET'):
    lines = b''.join(header + b'\r\n' for header in headers)
    return b'%b %b HTTP/1.1\r\nhost: x\r\n%b%b\r\n' % (
        method,
        path,
        lines,
        CLOSE,
    )


def problem_of(answer):
    head, _, body = answer.partition(b'\r\n\r\n')
    assert b'application/problem+json' in head
    assert b'x-cuminhoist-refusal: 1' in head
    return json.loads(body)


TOO_MANY = [b'a%d: b' % number for number in range(101)]
BAD = {
    'deadline text': [b'x-cuminhoist-deadline-ms: soon'],
    'deadline zero': [b'x-cuminhoist-deadline-ms: 0'],
    'deadline negative': [b'x-cuminhoist-deadline-ms: -5'],
    'deadline huge': [b'x-cuminhoist-deadline-ms: 99999999999999999999'],
    'deadline other digits': [b'x-cuminhoist-deadline-ms: \xb2'],
    'caller twice': [b'x-cuminhoist-caller: a', b'x-cuminhoist-caller: a'],
    'key twice': [b'idempotency-key: a', b'Idempotency-Key: b'],
    'too many': TOO_MANY,
    'too large': [b'a: ' + b'x' * 33 * 1024],
    'endless': [b'a: ' + b'x' * 400 * 1024],
}


@pytest.mark.parametrize('name', BAD)
async def test_bad_header_is_refused(name):
    """Guards against a crash, a guess or a run for a header that is wrong."""
    entry, server = running(echo)
    async with server:
        problem = problem_of(
            await server.ask(get(b'/v1/services/c/a', *BAD[name]))
        )
        assert (await server.ask(get())).startswith(b'HTTP/1.1 200')
    assert (problem['ran'], problem['reason']) == ('not-run', 'bad-request')
    assert len(entry.requests) == 1


@pytest.mark.parametrize(
    'junk',
    [
        b'\x16\x03\x01\x02\x00\x01\x00',
        b'GET / HTTP/9\r\n\r\n',
        b'GET /v1/services/c/a HTTP/1.1\r\nhost: x\r\na b: c\r\n\r\n',
        get(b'/v1/services/c/a', b'content-length: x'),
        get(b'/v1/services/c/a', b'content-length: 1', b'content-length: 2'),
        get(b'x:1', method=b'CONNECT'),
        b'GET /v1/services/c/a HTTP/1.1\r\na: ' + b'x' * 40 * 1024,
        b'GET /v1/services/c/' + b'x' * 40 * 1024,
        get(b'/v1/services/'),
        get(b'/v1/services//a'),
        get(b'/v1/%73ervices/c/a'),
    ],
)
async def test_malformed_request_is_refused(junk):
    """Guards against a listener that dies of malformed HTTP."""
    entry, server = running(echo)
    async with server:
        refused = await server.ask(junk)
        assert refused.startswith(b'HTTP/1.1 4')
        assert (await server.ask(get())).startswith(b'HTTP/1.1 200')
    assert len(entry.requests) == 1


async def test_request_passed_on_untouched():
    """Guards against decoded paths, lost headers and forged internal ones."""
    entry, server = running(echo)
    async with server:
        await server.ask(
            get(
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
    """Guards against a body that is lost or framed twice on the way."""

    async def script(target, reader, writer):
        head = await target.head(reader)
        if b'chunked' in head:
            sent = await reader.readuntil(b'0\r\n\r\n')
            assert sent.replace(b'\r\n', b'') in (b'1a2bc0', b'3abc0')
        else:
            assert await reader.readexactly(3) == b'abc'
        writer.write(b'HTTP/1.1 201 Made\r\ncontent-length: 2\r\n\r\nok')
        await writer.drain()

    async with RawServer(script) as target:
        client = HttpxTargetClient()

        async def carry(req):
            attempt = TargetAttempt(
                req.method, req.path, req.headers, req.body, 5.0
            )
            sent = await client.send(raw_target(target.port), attempt)
            return sent.unwrap()

        _, server = running(carry)
        async with server:
            request = get(b'/v1/services/c/a', *headers, method=b'POST')
            answer = await server.ask(request + body)
    assert answer.startswith(b'HTTP/1.1 201')
    assert b'content-length: 2\r\n' in answer
    assert answer.endswith(b'\r\n\r\nok')


async def test_expect_continue_waits_for_the_slot():
    """Guards against reading a body before the request has been admitted."""
    admitted = asyncio.Event()

    async def answer(req):
        await admitted.wait()
        return await echo(req)

    entry, server = running(answer)
    async with server:
        reader, writer = await server.connect()
        expect = [b'expect: 100-continue', b'content-length: 3']
        writer.write(get(b'/v1/services/c/a', *expect, method=b'PUT'))
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
    """Guards against bodies without bound, declared or not."""
    monkeypatch.setattr('cuminhoist.caller_api.MAX_BODY_BYTES', 10)
    _, server = running(echo)
    header = (
        b'content-length: 11' if declared else b'transfer-encoding: chunked'
    )
    async with server:
        request = get(b'/v1/services/c/a', header, method=b'PUT')
        got = await server.ask(request + b'b\r\n12345678901\r\n0\r\n\r\n')
    problem = problem_of(got)
    assert (problem['reason'], problem['ran']) == ('body-too-large', ran)
    assert MAX_BODY_BYTES == 2**30


@pytest.mark.parametrize(
    'headers',
    [[], [b'content-length: 5']],
    ids=['no body', 'unread body'],
)
async def test_disconnect_cancels(headers):
    """Guards against work for a caller that has gone."""

    async def answer(req):
        await asyncio.Event().wait()

    entry, server = running(answer)
    async with server:
        _, writer = await server.connect()
        writer.write(get(b'/v1/services/c/a', *headers))
        await entry.started.wait()
        writer.close()
        await entry.cancelled.wait()


async def test_disconnect_while_streaming_aborts():
    """Guards against a target that streams on to nobody."""
    aborted = asyncio.Event()

    async def body():
        while True:
            yield b'x' * 1024
            await asyncio.sleep(0.001)

    async def answer(req):
        return Answer(200, [], body(), aborted.set)

    _, server = running(answer)
    async with server:
        reader, writer = await server.connect()
        writer.write(get())
        await read_head(reader)
        writer.close()
        await aborted.wait()


@pytest.mark.parametrize('headers', [[], [(b'content-length', b'9')]])
async def test_truncated_answer_is_not_ended(headers):
    """Guards against a truncated answer that a caller takes for whole."""
    lost = Refusal(ran=Ran.unknown, reason=Reason.target_lost)

    async def body():
        yield b'part'
        raise IncompleteAnswerError(lost)

    async def answer(req):
        return Answer(200, headers, body())

    _, server = running(answer)
    async with server:
        got = await server.ask(get())
    assert got.startswith(b'HTTP/1.1 200')
    assert not got.endswith(b'0\r\n\r\n')
    if headers:
        assert b'content-length: 9' in got
        assert got.endswith(b'part')


ANSWERS = {
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


@pytest.mark.parametrize('name', ANSWERS)
async def test_answer_heads(name):
    """Guards against doubled headers and bodies where there is none."""
    method, status, headers, wanted = ANSWERS[name]
    extra = [(b'connection', b'x-drop'), (b'x-drop', b'1'), (b'te', b'x')]

    async def answer(req):
        return fixed(status=status, headers=[*headers, *extra])

    _, server = running(answer)
    async with server:
        got = await server.ask(get(method=method))
    head, _, body = got.partition(b'\r\n\r\n')
    assert wanted in head
    assert head.count(b'date: ') == 1
    assert head.count(b'server: ') == (name == 'date')
    assert b'x-drop' not in head
    assert body == (b'0\r\n\r\n' if status == 404 else b'')


async def test_hop_header():
    """Guards against forged, replayed and stripped headers of instances."""
    clock = SystemClock()
    signer = HopSigner('key', 'entry-1', clock)
    entry, server = running(echo, HopSigner('key', 'entry-2', clock))
    origin = Hop('entry-1', 'domain-1', 'region-1', '', 0, '')
    route = HopRequest('GET', '/c/a', 'acme')
    header = signer.sign(route, 'entry-2', origin, 1.0)
    request = get(
        b'/v1/services/c/a',
        b'x-cuminhoist-caller: acme',
        b'x-cuminhoist-hop: ' + header.encode(),
    )
    async with server:
        await server.ask(request)
        problem = problem_of(await server.ask(request))
        await server.ask(request.replace(b'acme', b'evil'))
    assert entry.requests[0].hop.origin == 'entry-1'
    assert problem['ran'] == 'not-run'
    assert entry.requests[1].hop is None


class Path:
    """An entry instance before one target with a raw script."""

    def __init__(self, script) -> None:
        self.target = RawServer(script)
        self.client = HttpxTargetClient()
        self.ends = []
        _, self.server = running(self._carry)

    async def __aenter__(self):
        await self.target.__aenter__()
        await self.server.__aenter__()
        return self

    async def __aexit__(self, *_exc):
        await self.server.__aexit__()
        await self.client.close()
        await self.target.__aexit__()

    async def _carry(self, req):
        attempt = TargetAttempt(
            req.method,
            req.path,
            req.headers,
            req.body,
            60.0,
            lambda outcome, _latency: self.ends.append(outcome),
        )
        target = raw_target(self.target.port, connections=100)
        return (await self.client.send(target, attempt)).unwrap()


@pytest.mark.parametrize('answered', [False, True])
async def test_disconnect_in_an_upload_cuts_it(answered):
    """Guards against part of an upload that a target takes for the whole."""

    async def script(target, reader, writer):
        await target.head(reader)
        if answered:
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n')
        target.rest = await reader.read()
        target.closed.set()

    async with Path(script) as path:
        reader, writer = await path.server.connect()
        head = get(b'/v1/services/c/a', b'content-length: 9', method=b'PUT')
        writer.write(head + b'part')
        while not path.target.heads:
            await asyncio.sleep(0.01)
        if answered:
            await read_head(reader)
        writer.close()
        await path.target.closed.wait()
    assert path.target.rest in (b'', b'part')
    assert path.ends == [SlotOutcome.unknown]


async def test_slow_upload_is_held_back_at_the_caller():
    """Guards against uploads that pile up between caller and slow target."""
    size = 64 * 2**20
    gate = asyncio.Event()

    async def script(target, reader, writer):
        await target.head(reader)
        await gate.wait()
        left = size
        while left:
            left -= len(await reader.read(2**20))
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
        await writer.drain()

    async with Path(script) as path:
        reader, writer = await path.server.connect()
        length = b'content-length: %d' % size
        writer.write(get(b'/v1/services/c/a', length, method=b'PUT'))
        written = 0

        async def upload():
            nonlocal written
            for _ in range(64):
                writer.write(b'x' * 2**20)
                await writer.drain()
                written += 2**20

        task = asyncio.create_task(upload())
        before = -1
        while before != written or not path.target.heads:
            before = written
            await asyncio.sleep(0.1)
        # Two pairs of loopback sockets hold some MiB each.
        assert written <= 24 * 2**20
        gate.set()
        await task
        answer = await reader.read()
    assert answer.startswith(b'HTTP/1.1 200')
    assert path.ends == [SlotOutcome.answered]


async def test_stop_cuts_no_carried_request():
    """Guards against a stop that truncates answers on their way."""
    gate = asyncio.Event()

    async def script(target, reader, writer):
        await target.head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
        writer.write(b'2\r\nab\r\n')
        await gate.wait()
        writer.write(b'2\r\ncd\r\n0\r\n\r\n')
        await writer.drain()

    async with Path(script) as path:
        asks = [asyncio.create_task(path.server.ask(get())) for _ in range(30)]
        while len(path.target.heads) < 30:
            await asyncio.sleep(0.01)
        stopping = asyncio.create_task(path.server.stop())
        await asyncio.sleep(0.2)
        gate.set()
        answers = await asyncio.gather(*asks)
        await stopping
    for answer in answers:
        assert answer.startswith(b'HTTP/1.1 200')
        assert answer.replace(b'4\r\nabcd', b'2\r\nab\r\n2\r\ncd').endswith(
            b'2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n'
        )
    assert path.ends == [SlotOutcome.answered] * 30


async def test_internal_error_is_a_refusal():
    """Guards against an internal error that passes for a target's answer."""

    async def answer(req):
        raise ValueError

    _, server = running(answer)
    async with server:
        assert problem_of(await server.ask(get()))['ran'] == 'unknown'
