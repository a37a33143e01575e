"""Tests of attempts against servers that fail in every way."""

import asyncio
import socket

import pytest
from returns.result import Failure

from cuminhoist.client_connection import WRITE_WATER_BYTES
from cuminhoist.exchange import HIGH_WATER_BYTES
from cuminhoist.slots import SlotOutcome
from cuminhoist.target_client import (
    Attempt,
    HttpxTargetClient,
    IncompleteAnswerError,
)
from cuminhoist.types import Ran, Reason

from . import builders
from .builders_carry import RawServer, raw_target

OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
SHED = b'HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n'
CHUNKED = [(b'transfer-encoding', b'chunked')]


async def no_body():
    yield b''


class Ends(list):
    """Keeps the reports of ended attempts."""

    def __call__(self, outcome, latency_s):
        self.append(outcome)


def attempt(ends, method='GET', headers=(), body=None, timeout_s=20.0):
    return Attempt(
        method,
        '/a%2Fb?c=%20',
        list(headers),
        body or no_body(),
        timeout_s,
        ends,
    )


async def read_all(answer):
    return b''.join([chunk async for chunk in answer.body])


def answering(*parts, keep=True):
    """Return a script that answers each request with the same bytes."""

    async def script(server, reader, writer):
        while True:
            await server.head(reader)
            writer.write(b''.join(parts))
            await writer.drain()
            if not keep:
                return

    return script


async def send(client, server, ends, **settings):
    target = raw_target(server.port)
    return await client.send(target, attempt(ends, **settings))


async def test_head_passed_on_untouched():
    """Guards against rewritten paths, lost statuses and a wrong deadline."""
    moved = b'HTTP/1.1 302 Found\r\nlocation: /x\r\nset-cookie: a=b\r\n'
    script = answering(moved, b'content-length: 0\r\n\r\n')
    ends = Ends()
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        for _ in range(2):
            answer = (await send(client, server, ends)).unwrap()
            assert answer.status == 302
            assert (b'location', b'/x') in answer.headers
            assert await read_all(answer) == b''
            await asyncio.sleep(0)
        await client.close()
    head = server.heads[1]
    assert head.startswith(b'GET /a%2Fb?c=%20 HTTP/1.1\r\n')
    assert b'x-cuminhoist-deadline-ms: 20000\r\n' in head
    assert b'cookie' not in head
    assert server.connections == 1
    assert ends == [SlotOutcome.answered] * 2


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('reused', [False, True])
async def test_never_resent(method, reused):
    """Guards against a second run after a connection lost without answer."""

    async def script(server, reader, writer):
        if reused:
            await server.head(reader)
            writer.write(OK)
        await server.head(reader)

    ends = Ends()
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        if reused:
            await read_all((await send(client, server, ends)).unwrap())
            await asyncio.sleep(0)
        refusal = (await send(client, server, ends, method=method)).failure()
        await asyncio.sleep(0.05)
        await client.close()
    assert (refusal.ran, refusal.reason) == (Ran.unknown, Reason.target_lost)
    assert server.connections == 1
    assert len(server.heads) == 1 + reused
    assert ends[-1] == SlotOutcome.unknown
    assert len(ends) == 1 + reused


async def test_closed_idle_connection_is_recognised():
    """Guards against a request written to a connection that is closed."""
    ends = Ends()
    async with RawServer(answering(OK, keep=False)) as server:
        closed = []
        client = HttpxTargetClient(on_close=closed.append)
        for number in range(3):
            await read_all((await send(client, server, ends)).unwrap())
            while len(closed) <= number:
                await asyncio.sleep(0.01)
        await client.close()
    assert closed == ['raw'] * 3
    assert server.connections == 3
    assert ends == [SlotOutcome.answered] * 3


async def test_close_that_the_loop_has_not_seen_is_recognised():
    """Guards against a request written after the close has arrived."""

    async def script(server, reader, writer):
        await server.head(reader)
        writer.write(OK)
        server.sock = writer.get_extra_info('socket')
        await reader.read()

    ends = Ends()
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        await read_all((await send(client, server, ends)).unwrap())
        server.sock.shutdown(socket.SHUT_RDWR)
        answer = (await send(client, server, ends)).unwrap()
        assert await read_all(answer) == b'ok'
    assert server.connections == 2
    assert ends == [SlotOutcome.answered] * 2


async def test_refused_connection_is_not_run():
    """Guards against `unknown` for a request that was never sent."""
    ends = Ends()
    client = HttpxTargetClient()
    target = raw_target(builders.free_ports(1)[0])
    refusal = (await client.send(target, attempt(ends))).failure()
    assert (refusal.ran, refusal.reason) == (Ran.not_run, Reason.no_target)
    assert ends == [SlotOutcome.not_run]


async def test_names_are_not_resolved(monkeypatch):
    """Guards against DNS and proxies in the request path."""
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop, 'getaddrinfo', None)
    monkeypatch.setenv('http_proxy', 'http://127.0.0.1:9')
    monkeypatch.setenv('ALL_PROXY', 'http://127.0.0.1:9')
    ends = Ends()
    async with RawServer(answering(OK)) as server:
        client = HttpxTargetClient()
        await read_all((await send(client, server, ends)).unwrap())
        await client.close()
    assert ends == [SlotOutcome.answered]


SCRIPTS = {
    'short body': b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok',
    'cut chunks': b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nok\r\n',
    'bad chunk': b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nok\r\nzz',
}


@pytest.mark.parametrize('name', SCRIPTS)
async def test_truncated_answer_is_an_error(name):
    """Guards against a truncated answer that passes for a whole one."""
    ends = Ends()
    script = answering(SCRIPTS[name], keep=False)
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        outcome = await send(client, server, ends)
        with pytest.raises(IncompleteAnswerError) as caught:
            await read_all(outcome.unwrap())
    assert caught.value.refusal.ran == Ran.unknown
    assert ends == [SlotOutcome.unknown]


@pytest.mark.parametrize(
    'junk',
    [
        b'not http\r\n\r\n',
        b'HTTP/1.1 700 X\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nx: ' + b'y' * 2**17,
    ],
)
async def test_malformed_head(junk):
    """Guards against a crash or unbounded memory on a broken answer."""
    ends = Ends()
    async with RawServer(answering(junk, keep=False)) as server:
        refusal = (await send(HttpxTargetClient(), server, ends)).failure()
    assert refusal.ran == Ran.unknown
    assert ends == [SlotOutcome.unknown]


async def test_unsolicited_answer_is_not_passed_on():
    """Guards against the answer to one request reaching another one."""

    async def script(server, reader, writer):
        await server.head(reader)
        wrong = OK.replace(b'ok', b'no')
        writer.write(OK + (wrong if server.connections == 1 else b''))
        await reader.read()

    ends = Ends()
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        for _ in range(2):
            answer = (await send(client, server, ends)).unwrap()
            assert await read_all(answer) == b'ok'
            await asyncio.sleep(0.01)
    assert server.connections == 2


@pytest.mark.parametrize(
    ('method', 'answer_head'),
    [
        ('HEAD', b'HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n'),
        ('GET', b'HTTP/1.1 204 No Content\r\n\r\n'),
        ('GET', b'HTTP/1.1 304 Not Modified\r\ncontent-length: 7\r\n\r\n'),
        ('GET', b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 Gone\r\n\r\n'),
    ],
)
async def test_answers_without_body(method, answer_head):
    """Guards against waiting for a body that never comes."""
    ends = Ends()
    async with RawServer(answering(answer_head)) as server:
        client = HttpxTargetClient()
        for _ in range(2):
            outcome = await send(client, server, ends, method=method)
            assert await read_all(outcome.unwrap()) == b''
            await asyncio.sleep(0)
        await client.close()
    assert server.connections == 1
    assert ends == [SlotOutcome.answered] * 2


async def test_body_until_close():
    """Guards against losing the body of a server that ends it by closing."""
    ends = Ends()
    script = answering(b'HTTP/1.0 200 OK\r\n\r\nabc', keep=False)
    async with RawServer(script) as server:
        answer = (await send(HttpxTargetClient(), server, ends)).unwrap()
        assert await read_all(answer) == b'abc'
    assert ends == [SlotOutcome.answered]


async def test_load_shedding_is_not_run():
    """Guards against `unknown` for a request that the target refused."""
    ends = Ends()
    async with RawServer(answering(SHED)) as server:
        client = HttpxTargetClient()
        for _ in range(2):
            refusal = (await send(client, server, ends)).failure()
            assert refusal.reason == Reason.target_refused
            await asyncio.sleep(0)
        await client.close()
    assert refusal.ran == Ran.not_run
    assert ends == [SlotOutcome.not_run] * 2
    assert server.connections == 1


async def silent(server, reader, writer):
    await server.head(reader)
    await reader.read()
    server.closed.set()


async def stalling(server, reader, writer):
    await server.head(reader)
    writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok')
    await reader.read()
    server.closed.set()


async def test_deadline_before_the_head():
    """Guards against waiting for a silent target beyond the deadline."""

    async def script(server, reader, writer):
        await server.head(reader)
        writer.write(OK)
        await silent(server, reader, writer)

    ends = Ends()
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        # The connection is open before the time of the second one starts.
        await read_all((await send(client, server, ends)).unwrap())
        outcome = await send(client, server, ends, timeout_s=0.05)
        await server.closed.wait()
    assert outcome.failure().reason == Reason.target_timeout
    assert outcome.failure().ran == Ran.unknown
    assert ends == [SlotOutcome.answered, SlotOutcome.unknown]


@pytest.mark.parametrize('read', [True, False])
async def test_deadline_within_the_body(read):
    """Guards against a stalled body, read or not, that holds its slot."""
    ends = Ends()
    async with RawServer(stalling) as server:
        outcome = await send(HttpxTargetClient(), server, ends)
        answer = outcome.unwrap()
        # The timer of the deadline runs out.
        answer.body._exchange.timer._run()
        if read:
            with pytest.raises(IncompleteAnswerError):
                await read_all(answer)
        await server.closed.wait()
    assert ends == [SlotOutcome.unknown]


@pytest.mark.parametrize('script', [silent, stalling])
async def test_cancellation_closes_the_connection(script):
    """Guards against a target that works on for a caller that has gone."""
    ends = Ends()
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        task = asyncio.create_task(send(client, server, ends))
        while not server.heads:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        if script is silent:
            task.cancel()
        else:
            (await task).unwrap().abort()
        await server.closed.wait()
    assert ends == [SlotOutcome.unknown]


async def test_connections_stay_within_the_limit():
    """Guards against more connections than a target accepts."""
    ends = Ends()
    async with RawServer(stalling) as server:
        client = HttpxTargetClient()
        target = raw_target(server.port, connections=2)
        outcomes = await asyncio.gather(
            *(client.send(target, attempt(ends)) for _ in range(5))
        )
        failures = [
            part.failure() for part in outcomes if isinstance(part, Failure)
        ]
        assert [part.reason for part in failures] == [Reason.no_slot] * 3
        assert {part.ran for part in failures} == {Ran.not_run}
        assert server.connections == 2
    assert ends.count(SlotOutcome.not_run) == 3


@pytest.mark.parametrize('chunked', [True, False])
async def test_upload_memory_is_bounded(chunked):
    """Guards against an upload that piles up while the target is slow."""
    piece = b'x' * 2**16
    count = 400
    end = b'0\r\n\r\n' if chunked else b''
    produced = []

    async def body():
        for number in range(count):
            produced.append(number)
            yield piece

    async def script(server, reader, writer):
        await server.head(reader)
        await server.gate.wait()
        size, tail = 0, b''
        while size < count * len(piece) or not tail.endswith(end):
            chunk = await reader.read(2**20)
            size += chunk.count(b'x')
            tail = tail[-8:] + chunk
        writer.write(OK)
        await writer.drain()

    ends = Ends()
    length = [(b'content-length', str(count * len(piece)).encode())]
    async with RawServer(script) as server:
        server.gate = asyncio.Event()
        task = asyncio.create_task(
            send(
                HttpxTargetClient(),
                server,
                ends,
                method='PUT',
                headers=CHUNKED if chunked else length,
                body=body(),
            )
        )
        before = -1
        while before != len(produced):
            before = len(produced)
            await asyncio.sleep(0.1)
        # The kernel's socket buffers on loopback hold a few MiB of these.
        own = WRITE_WATER_BYTES + 2 * len(piece)
        kernel = 8 * 2**20
        assert len(produced) * len(piece) <= own + kernel
        server.gate.set()
        assert (await task).unwrap().status == 200
    assert len(produced) == count
    assert ends == [SlotOutcome.answered]


async def test_download_memory_is_bounded():
    """Guards against an answer that piles up while the caller is slow."""
    total = 64 * 2**20
    written = []

    async def script(server, reader, writer):
        await server.head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % total)
        for _ in range(64):
            writer.write(b'x' * 2**20)
            await writer.drain()
            written.append(2**20)

    ends = Ends()
    async with RawServer(script) as server:
        answer = (await send(HttpxTargetClient(), server, ends)).unwrap()
        await asyncio.sleep(0.2)
        assert answer.body._exchange._buffered <= 4 * HIGH_WATER_BYTES
        assert sum(written) < total / 2
        size = 0
        async for chunk in answer.body:
            size += len(chunk)
    assert size == total
    assert ends == [SlotOutcome.answered]


async def test_answer_before_the_whole_body():
    """Guards against a hang when a target answers before it has read all."""

    async def body():
        while True:
            yield b'x' * 2**16

    async def script(server, reader, writer):
        await server.head(reader)
        writer.write(b'HTTP/1.1 413 Large\r\ncontent-length: 2\r\n\r\nno')
        await server.gate.wait()

    ends = Ends()
    async with RawServer(script) as server:
        server.gate = asyncio.Event()
        client = HttpxTargetClient()
        outcome = await send(
            client,
            server,
            ends,
            method='PUT',
            headers=CHUNKED,
            body=body(),
        )
        answer = outcome.unwrap()
        assert answer.status == 413
        assert await read_all(answer) == b'no'
        # The rest of the upload must not run into the next request.
        await read_all((await send(client, server, ends)).unwrap())
        server.gate.set()
    assert server.connections == 2
    assert ends == [SlotOutcome.answered] * 2


async def test_failed_source_of_the_body_cuts_the_request():
    """Guards against part of an upload that passes for the whole."""

    async def body():
        yield b'part'
        raise ConnectionError('the caller has gone')

    async def script(server, reader, writer):
        await server.head(reader)
        server.rest = await reader.read()
        server.closed.set()

    ends = Ends()
    async with RawServer(script) as server:
        outcome = await send(
            HttpxTargetClient(),
            server,
            ends,
            method='PUT',
            headers=CHUNKED,
            body=body(),
        )
        await server.closed.wait()
    assert server.rest == b'4\r\npart\r\n'
    assert outcome.failure().ran == Ran.unknown
    assert ends == [SlotOutcome.unknown]
