"""Attempts against targets that fail, stall, close or send broken HTTP.

The tests guard against a request that is run twice, an incomplete answer
passed on as complete, a wrong outcome for the slot and unbounded memory.
"""

import asyncio
import socket

import pytest
from returns.result import Failure

from cuminhoist.client_connection import WRITE_HIGH_WATER_BYTES
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

ANSWER_OK = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
ANSWER_SHED = b'HTTP/1.1 503 Busy\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n'
CHUNKED_HEADERS = [(b'transfer-encoding', b'chunked')]


async def empty_body():
    yield b''


class RecordedOutcomes(list):
    """Records the outcome of each attempt that has ended."""

    def __call__(self, outcome, latency_s):
        self.append(outcome)


def make_attempt(outcomes, method='GET', headers=(), body=None, timeout_s=20.0):
    return Attempt(
        method,
        '/a%2Fb?c=%20',
        list(headers),
        body or empty_body(),
        timeout_s,
        outcomes,
    )


async def read_all(answer):
    return b''.join([chunk async for chunk in answer.body])


def answer_each_request(*parts, keep_open=True):
    """Return a script that answers each request with the same bytes."""

    async def script(server, reader, writer):
        while True:
            await server.head(reader)
            writer.write(b''.join(parts))
            await writer.drain()
            if not keep_open:
                return

    return script


async def send_attempt(client, server, outcomes, **settings):
    target = raw_target(server.port)
    return await client.send(target, make_attempt(outcomes, **settings))


async def test_head_passed_on_untouched():
    """Guards against a changed path, status or header, or a wrong deadline.

    A client library may decode an escaped path, follow a redirect or send a
    cookie with the next request.
    """
    redirect = b'HTTP/1.1 302 Found\r\nlocation: /x\r\nset-cookie: a=b\r\n'
    script = answer_each_request(redirect, b'content-length: 0\r\n\r\n')
    outcomes = RecordedOutcomes()
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        for _ in range(2):
            answer = (await send_attempt(client, server, outcomes)).unwrap()
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
    assert outcomes == [SlotOutcome.answered] * 2


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('reused', [False, True])
async def test_never_resent(method, reused):
    """Guards against a second run when a connection closes without answer."""

    async def script(server, reader, writer):
        if reused:
            await server.head(reader)
            writer.write(ANSWER_OK)
        await server.head(reader)

    outcomes = RecordedOutcomes()
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        if reused:
            await read_all(
                (await send_attempt(client, server, outcomes)).unwrap()
            )
            await asyncio.sleep(0)
        refusal = (
            await send_attempt(client, server, outcomes, method=method)
        ).failure()
        await asyncio.sleep(0.05)
        await client.close()
    assert (refusal.ran, refusal.reason) == (Ran.unknown, Reason.target_lost)
    assert server.connections == 1
    assert len(server.heads) == 1 + reused
    assert outcomes[-1] == SlotOutcome.unknown
    assert len(outcomes) == 1 + reused


async def test_closed_idle_connection_is_recognised():
    """Guards against a request on an idle connection closed by the target."""
    outcomes = RecordedOutcomes()
    async with RawServer(
        answer_each_request(ANSWER_OK, keep_open=False)
    ) as server:
        closed = []
        client = HttpxTargetClient(on_close=closed.append)
        for number in range(3):
            await read_all(
                (await send_attempt(client, server, outcomes)).unwrap()
            )
            while len(closed) <= number:
                await asyncio.sleep(0.01)
        await client.close()
    assert closed == ['raw'] * 3
    assert server.connections == 3
    assert outcomes == [SlotOutcome.answered] * 3


async def test_close_that_the_loop_has_not_seen_is_recognised():
    """Guards against a request on a connection whose close is not handled yet.

    The close has reached the socket, but the event loop has not read it.
    """

    async def script(server, reader, writer):
        await server.head(reader)
        writer.write(ANSWER_OK)
        server.sock = writer.get_extra_info('socket')
        await reader.read()

    outcomes = RecordedOutcomes()
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        await read_all((await send_attempt(client, server, outcomes)).unwrap())
        server.sock.shutdown(socket.SHUT_RDWR)
        answer = (await send_attempt(client, server, outcomes)).unwrap()
        assert await read_all(answer) == b'ok'
    assert server.connections == 2
    assert outcomes == [SlotOutcome.answered] * 2


async def test_refused_connection_is_not_run():
    """Guards against outcome `unknown` for a request that was never sent."""
    outcomes = RecordedOutcomes()
    client = HttpxTargetClient()
    target = raw_target(builders.free_ports(1)[0])
    refusal = (await client.send(target, make_attempt(outcomes))).failure()
    assert (refusal.ran, refusal.reason) == (Ran.not_run, Reason.no_target)
    assert outcomes == [SlotOutcome.not_run]


async def test_names_are_not_resolved(monkeypatch):
    """Guards against DNS look-ups and HTTP proxies in the request path."""
    loop = asyncio.get_running_loop()
    monkeypatch.setattr(loop, 'getaddrinfo', None)
    monkeypatch.setenv('http_proxy', 'http://127.0.0.1:9')
    monkeypatch.setenv('ALL_PROXY', 'http://127.0.0.1:9')
    outcomes = RecordedOutcomes()
    async with RawServer(answer_each_request(ANSWER_OK)) as server:
        client = HttpxTargetClient()
        await read_all((await send_attempt(client, server, outcomes)).unwrap())
        await client.close()
    assert outcomes == [SlotOutcome.answered]


INCOMPLETE_ANSWERS = {
    'short body': b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok',
    'cut chunks': b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nok\r\n',
    'bad chunk': b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nok\r\nzz',
}


@pytest.mark.parametrize('name', INCOMPLETE_ANSWERS)
async def test_truncated_answer_is_an_error(name):
    """Guards against a truncated answer that is passed on as complete."""
    outcomes = RecordedOutcomes()
    script = answer_each_request(INCOMPLETE_ANSWERS[name], keep_open=False)
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        result = await send_attempt(client, server, outcomes)
        with pytest.raises(IncompleteAnswerError) as caught:
            await read_all(result.unwrap())
    assert caught.value.refusal.ran == Ran.unknown
    assert outcomes == [SlotOutcome.unknown]


@pytest.mark.parametrize(
    'junk',
    [
        b'not http\r\n\r\n',
        b'HTTP/1.1 700 X\r\n\r\n',
        b'HTTP/1.1 200 OK\r\nx: ' + b'y' * 2**17,
    ],
)
async def test_malformed_head(junk):
    """Guards against a crash or unbounded memory on a malformed head."""
    outcomes = RecordedOutcomes()
    async with RawServer(answer_each_request(junk, keep_open=False)) as server:
        refusal = (
            await send_attempt(HttpxTargetClient(), server, outcomes)
        ).failure()
    assert refusal.ran == Ran.unknown
    assert outcomes == [SlotOutcome.unknown]


async def test_unsolicited_answer_is_not_passed_on():
    """Guards against an unsolicited answer that is read by the next request."""

    async def script(server, reader, writer):
        await server.head(reader)
        wrong = ANSWER_OK.replace(b'ok', b'no')
        writer.write(ANSWER_OK + (wrong if server.connections == 1 else b''))
        await reader.read()

    outcomes = RecordedOutcomes()
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        for _ in range(2):
            answer = (await send_attempt(client, server, outcomes)).unwrap()
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
    """Guards against waiting for a body that HTTP rules out."""
    outcomes = RecordedOutcomes()
    async with RawServer(answer_each_request(answer_head)) as server:
        client = HttpxTargetClient()
        for _ in range(2):
            result = await send_attempt(client, server, outcomes, method=method)
            assert await read_all(result.unwrap()) == b''
            await asyncio.sleep(0)
        await client.close()
    assert server.connections == 1
    assert outcomes == [SlotOutcome.answered] * 2


async def test_body_until_close():
    """Guards against losing a body that ends with the connection."""
    outcomes = RecordedOutcomes()
    script = answer_each_request(b'HTTP/1.0 200 OK\r\n\r\nabc', keep_open=False)
    async with RawServer(script) as server:
        answer = (
            await send_attempt(HttpxTargetClient(), server, outcomes)
        ).unwrap()
        assert await read_all(answer) == b'abc'
    assert outcomes == [SlotOutcome.answered]


async def test_load_shedding_is_not_run():
    """Guards against outcome `unknown` for a request that the target shed."""
    outcomes = RecordedOutcomes()
    async with RawServer(answer_each_request(ANSWER_SHED)) as server:
        client = HttpxTargetClient()
        for _ in range(2):
            refusal = (await send_attempt(client, server, outcomes)).failure()
            assert refusal.reason == Reason.target_refused
            await asyncio.sleep(0)
        await client.close()
    assert refusal.ran == Ran.not_run
    assert outcomes == [SlotOutcome.not_run] * 2
    assert server.connections == 1


async def never_answer(server, reader, writer):
    await server.head(reader)
    await reader.read()
    server.closed.set()


async def stall_within_body(server, reader, writer):
    await server.head(reader)
    writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok')
    await reader.read()
    server.closed.set()


async def test_deadline_before_the_head():
    """Guards against waiting beyond the deadline for a target's first byte."""

    async def script(server, reader, writer):
        await server.head(reader)
        writer.write(ANSWER_OK)
        await never_answer(server, reader, writer)

    outcomes = RecordedOutcomes()
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        # The connection is open before the time-out of the second attempt
        # starts.
        await read_all((await send_attempt(client, server, outcomes)).unwrap())
        result = await send_attempt(client, server, outcomes, timeout_s=0.05)
        await server.closed.wait()
    assert result.failure().reason == Reason.target_timeout
    assert result.failure().ran == Ran.unknown
    assert outcomes == [SlotOutcome.answered, SlotOutcome.unknown]


@pytest.mark.parametrize('read', [True, False])
async def test_deadline_within_the_body(read):
    """Guards against a slot that a stalled body occupies past its deadline.

    The slot is freed whether or not the caller reads the body.
    """
    outcomes = RecordedOutcomes()
    async with RawServer(stall_within_body) as server:
        result = await send_attempt(HttpxTargetClient(), server, outcomes)
        answer = result.unwrap()
        # Fires the timer of the deadline.
        answer.body._exchange.timer._run()
        if read:
            with pytest.raises(IncompleteAnswerError):
                await read_all(answer)
        await server.closed.wait()
    assert outcomes == [SlotOutcome.unknown]


@pytest.mark.parametrize('script', [never_answer, stall_within_body])
async def test_cancellation_closes_the_connection(script):
    """Guards against a target that still runs a cancelled request."""
    outcomes = RecordedOutcomes()
    async with RawServer(script) as server:
        client = HttpxTargetClient()
        task = asyncio.create_task(send_attempt(client, server, outcomes))
        while not server.heads:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        if script is never_answer:
            task.cancel()
        else:
            (await task).unwrap().abort()
        await server.closed.wait()
    assert outcomes == [SlotOutcome.unknown]


async def test_connections_stay_within_the_limit():
    """Guards against more connections than the limit of a target."""
    outcomes = RecordedOutcomes()
    async with RawServer(stall_within_body) as server:
        client = HttpxTargetClient()
        target = raw_target(server.port, connections=2)
        results = await asyncio.gather(
            *(client.send(target, make_attempt(outcomes)) for _ in range(5))
        )
        failures = [
            result.failure()
            for result in results
            if isinstance(result, Failure)
        ]
        assert [refusal.reason for refusal in failures] == [Reason.no_slot] * 3
        assert {refusal.ran for refusal in failures} == {Ran.not_run}
        assert server.connections == 2
    assert outcomes.count(SlotOutcome.not_run) == 3


@pytest.mark.parametrize('chunked', [True, False])
async def test_upload_memory_is_bounded(chunked):
    """Guards against an upload buffered in memory while the target is slow."""
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
        writer.write(ANSWER_OK)
        await writer.drain()

    outcomes = RecordedOutcomes()
    length = [(b'content-length', str(count * len(piece)).encode())]
    async with RawServer(script) as server:
        server.gate = asyncio.Event()
        task = asyncio.create_task(
            send_attempt(
                HttpxTargetClient(),
                server,
                outcomes,
                method='PUT',
                headers=CHUNKED_HEADERS if chunked else length,
                body=body(),
            )
        )
        before = -1
        while before != len(produced):
            before = len(produced)
            await asyncio.sleep(0.1)
        # Besides its own buffers, the kernel's socket buffers on loopback
        # take a few MiB.
        own_bytes = WRITE_HIGH_WATER_BYTES + 2 * len(piece)
        kernel_bytes = 8 * 2**20
        assert len(produced) * len(piece) <= own_bytes + kernel_bytes
        server.gate.set()
        assert (await task).unwrap().status == 200
    assert len(produced) == count
    assert outcomes == [SlotOutcome.answered]


async def test_download_memory_is_bounded():
    """Guards against an answer buffered in memory while the caller is slow."""
    total = 64 * 2**20
    written = []

    async def script(server, reader, writer):
        await server.head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % total)
        for _ in range(64):
            writer.write(b'x' * 2**20)
            await writer.drain()
            written.append(2**20)

    outcomes = RecordedOutcomes()
    async with RawServer(script) as server:
        answer = (
            await send_attempt(HttpxTargetClient(), server, outcomes)
        ).unwrap()
        await asyncio.sleep(0.2)
        assert answer.body._exchange._buffered <= 4 * HIGH_WATER_BYTES
        assert sum(written) < total / 2
        size = 0
        async for chunk in answer.body:
            size += len(chunk)
    assert size == total
    assert outcomes == [SlotOutcome.answered]


async def test_answer_before_the_whole_body():
    """Guards against a hang when a target answers before the upload ends."""

    async def body():
        while True:
            yield b'x' * 2**16

    async def script(server, reader, writer):
        await server.head(reader)
        writer.write(b'HTTP/1.1 413 Large\r\ncontent-length: 2\r\n\r\nno')
        await server.gate.wait()

    outcomes = RecordedOutcomes()
    async with RawServer(script) as server:
        server.gate = asyncio.Event()
        client = HttpxTargetClient()
        result = await send_attempt(
            client,
            server,
            outcomes,
            method='PUT',
            headers=CHUNKED_HEADERS,
            body=body(),
        )
        answer = result.unwrap()
        assert answer.status == 413
        assert await read_all(answer) == b'no'
        # The rest of the upload must not be sent into the next request.
        await read_all((await send_attempt(client, server, outcomes)).unwrap())
        server.gate.set()
    assert server.connections == 2
    assert outcomes == [SlotOutcome.answered] * 2


async def test_failed_source_of_the_body_cuts_the_request():
    """Guards against a cut upload that the target takes for complete."""

    async def body():
        yield b'part'
        raise ConnectionError('the caller has gone')

    async def script(server, reader, writer):
        await server.head(reader)
        server.rest = await reader.read()
        server.closed.set()

    outcomes = RecordedOutcomes()
    async with RawServer(script) as server:
        result = await send_attempt(
            HttpxTargetClient(),
            server,
            outcomes,
            method='PUT',
            headers=CHUNKED_HEADERS,
            body=body(),
        )
        await server.closed.wait()
    assert server.rest == b'4\r\npart\r\n'
    assert result.failure().ran == Ran.unknown
    assert outcomes == [SlotOutcome.unknown]


@pytest.mark.parametrize('status', [b'000', b'0', b'099', b'600', b'999'])
@pytest.mark.parametrize('before', [b'', b'HTTP/1.1 103 Hints\r\n\r\n'])
async def test_status_outside_the_protocol_is_no_answer(status, before):
    """Guards against a status that no server may send (MIXED)."""
    odd = before + ANSWER_OK.replace(b' 200 ', b' %b ' % status)
    outcomes = RecordedOutcomes()
    async with RawServer(answer_each_request(odd)) as server:
        client = HttpxTargetClient()
        refusal = (await send_attempt(client, server, outcomes)).failure()
        await client.close()
    assert (refusal.ran, refusal.reason) == (Ran.unknown, Reason.target_lost)
    assert outcomes == [SlotOutcome.unknown]
