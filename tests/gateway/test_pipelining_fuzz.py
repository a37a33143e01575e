"""Pipelined byte streams, cut at every position, through the real listener.

The tests guard against bytes of one answer or request within another, lost
and repeated requests, and requests that go on for a caller that has gone.
"""

import asyncio
import contextlib
import random
import re

import pytest

from tests.builders_pipelining import OverlapApp, calling, get, post
from tests.waiting import eventually

from .builders import HOST, ScriptedTarget, answer, gateway, header
from .builders_steps import ALL, BODY, STALL, Step, StepTarget, slow_link

#: Streams that are sent at the same time.
CONCURRENT = 8
#: Targets of three slots, so that no request of these streams is refused.
TARGETS = 14


class EchoTarget(ScriptedTarget):
    """Answers with the path and the body, early requests of a stream late."""

    def __init__(self, served: list[tuple[str, bytes]]) -> None:
        super().__init__(answer)
        self.served = served

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                body = await _read_body(reader, head)
                path = head.split(b' ')[1].decode()
                self.served.append((path, body))
                await asyncio.sleep(0.002 * (5 - int(path[-1])))
                writer.write(answer(head, path.encode() + b'=' + body))
        writer.close()


def _gateway(served: list[tuple[str, bytes]] | None = None):
    """Return a gateway whose targets add what they serve to one list."""
    served = [] if served is None else served
    targets = [EchoTarget(served) for _ in range(TARGETS)]
    return gateway(*targets, timeout_s=5.0)


async def _read_body(reader, head: bytes) -> bytes:
    if header(head, 'transfer-encoding') != 'chunked':
        length = int(header(head, 'content-length') or 0)
        return await reader.readexactly(length)
    body = b''
    while True:
        size = int(await reader.readuntil(b'\r\n'), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return body
        body += chunk[:-2]


def _request(number: int, kind: str, *, last: bool) -> bytes:
    method = 'GET' if kind in {'get', 'unknown'} else 'POST'
    path = '/other' if kind == 'unknown' else '/a'
    body, framing = b'', ''
    if kind == 'length':
        body, framing = b'GET /a/9 HTTP/1.1\r\n\r\n', 'Content-Length: 21\r\n'
    elif kind == 'chunked':
        body = b'5;x=y\r\nhello\r\n3\r\n\r\n0\r\n0\r\n\r\n'
        framing = 'Transfer-Encoding: chunked\r\n'
    ending = 'Connection: close\r\n' if last else ''
    return (
        f'{method} {path}/{number} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Request-Id: id{number}\r\n{framing}{ending}\r\n'
    ).encode() + body


_KINDS = ('get', 'length', 'unknown', 'chunked', 'get')
REQUESTS = [
    _request(number, kind, last=number == len(_KINDS) - 1)
    for number, kind in enumerate(_KINDS)
]
STREAM = b''.join(REQUESTS)


def _comparable(received: bytes) -> bytes:
    return re.sub(rb'date: [^\r]*\r\n', b'', received)


async def _exchange(port: int, *pieces: bytes) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    for piece in pieces:
        writer.write(piece)
        await writer.drain()
        # Lets the listener read this piece before the next one.
        await asyncio.sleep(0.001)
    async with asyncio.timeout(10):
        received = await reader.read()
    writer.close()
    return _comparable(received)


async def _one_by_one(port: int) -> bytes:
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    received = b''
    for req in REQUESTS:
        writer.write(req)
        head = await reader.readuntil(b'\r\n\r\n')
        length = int(header(head, 'content-length'))
        received += head + await reader.readexactly(length)
    writer.close()
    return _comparable(received)


async def test_stream_cut_anywhere_gives_the_answers_of_single_requests():
    """Guards against answers that depend on how bytes arrive."""
    async with _gateway() as harness:
        expected = await _one_by_one(harness.port)
        assert expected.count(b'HTTP/1.1 ') == len(REQUESTS)
        cuts = range(len(STREAM))
        for start in cuts[::CONCURRENT]:
            received = await asyncio.gather(
                *(
                    _exchange(harness.port, STREAM[:cut], STREAM[cut:])
                    for cut in cuts[start : start + CONCURRENT]
                )
            )
            assert set(received) == {expected}


async def test_stream_in_small_pieces_gives_the_answers_of_single_requests():
    """Guards against state that is lost between three and more reads."""
    rng = random.Random(11)
    async with _gateway() as harness:
        expected = await _one_by_one(harness.port)
        for _ in range(20):
            cuts = sorted(rng.sample(range(1, len(STREAM)), 12))
            bounds = zip([0, *cuts], [*cuts, len(STREAM)], strict=True)
            pieces = [STREAM[start:end] for start, end in bounds]
            assert await _exchange(harness.port, *pieces) == expected


async def test_close_anywhere_leaves_nothing_behind():
    """Guards against requests, slots and bytes kept for callers that left."""
    served: list[tuple[str, bytes]] = []
    async with _gateway(served) as harness:
        expected = await _one_by_one(harness.port)
        proper = set(served)

        async def send_and_leave(cut: int) -> None:
            _, writer = await asyncio.open_connection('127.0.0.1', harness.port)
            writer.write(STREAM[:cut])
            await writer.drain()
            await asyncio.sleep(0.001 * (cut % 12))
            if cut % 2:
                writer.transport.abort()
            writer.close()

        for start in range(0, len(STREAM), CONCURRENT):
            await asyncio.gather(
                *(send_and_leave(start + cut) for cut in range(CONCURRENT))
            )
        await eventually(lambda: not harness.proxy.running_requests)
        memory = harness.server.server_state.memory
        assert not sum(memory.held.values())
        assert set(served) == proper
        assert await _one_by_one(harness.port) == expected


@pytest.mark.parametrize('seed', range(60))
async def test_random_endings_keep_answers_apart(seed):
    """Guards against bytes of an answer behind the end of the connection."""
    rng = random.Random(seed)
    paths = [
        rng.choice(['/', '/', '/once'])
        + f'{number}'
        + rng.choice(' ' * 9 + '!~-')
        for number in range(8)
    ]
    paths = [path.strip() for path in paths]
    expected = b''
    for path in paths:
        expected += {'~': path[: len(path) // 2], '-': ''}.get(
            path[-1], path
        ).encode()
        if path[-1] in '!~-':
            break
    app = OverlapApp()
    async with calling(app) as (caller, _):
        caller.send(
            *(
                get(path) if rng.random() < 0.7 else post(path, b'')
                for path in paths
            )
        )
        for path in rng.sample(paths, len(paths)):
            await asyncio.sleep(0)
            app.open(path)
        caller.writer.write(get('/last!'))
        app.open('/last!')
        received = b''
        with contextlib.suppress(ConnectionError):
            received = await caller.read_rest()
    if expected.endswith(paths[-1].encode()) and paths[-1][-1] not in '!~-':
        expected += b'/last!'
    bodies = re.sub(rb'HTTP/1\.1 200.*?\r\n\r\n', b'', received, flags=re.S)
    assert bodies == expected


def _random_steps(rng: random.Random) -> tuple[str, list[Step]]:
    """Return how an answer goes, and its steps."""
    sizes = sorted(rng.sample(range(len(BODY)), rng.randint(1, 7)))
    steps: list[Step] = [(rng.uniform(0.01, 0.15), size) for size in sizes]
    steps[0] = (rng.choice([0.1, 0.5, 0.9]), sizes[0])
    kind = rng.choice(['whole', 'stall', 'break-off'])
    last = {'whole': [(0.1, ALL)], 'stall': [(0, STALL)], 'break-off': []}
    return kind, steps + last[kind]


@pytest.mark.looptime
@pytest.mark.parametrize('seed', range(60))
async def test_requests_behind_random_failures_are_answered(seed):
    """Guards against answers that are lost to the failure of one before."""
    rng = random.Random(seed)
    kinds = dict.fromkeys(range(8), 'whole')
    steps = {}
    for number in rng.sample(range(8), 4):
        kinds[number], steps[f'/a/{number}'] = _random_steps(rng)
    targets = [StepTarget(steps) for _ in range(TARGETS)]
    async with slow_link(*targets) as (harness, caller):
        answering = asyncio.create_task(caller.read_answers(len(kinds)))
        for number in kinds:
            caller.request(number)
            await asyncio.sleep(rng.choice([0, 0, 0.05, 0.3]))
        answers = await answering
        await eventually(lambda: not harness.proxy.running_requests)
        assert not sum(harness.server.server_state.memory.held.values())
    passed_on = {path for target in targets for path in target.paths}
    cut = len(answers)
    # Only a failed answer is cut, and nothing behind it was passed on.
    assert kinds.get(cut) != 'whole'
    assert not passed_on & {f'/a/{number}' for number in range(cut + 1, 8)}
    for number, (status, body) in enumerate(answers):
        whole = BODY if f'/a/{number}' in steps else b'whole'
        assert status in {502, 503, 504} or body == whole
        assert status != 200 or kinds[number] == 'whole'
