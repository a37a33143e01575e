"""Pipelined requests at the listener: which run, and how answers follow.

The tests guard against head-of-line blocking of requests that may overlap,
against answers in another order or within one another, and against requests
that run although the connection ends before their answer.
"""

import asyncio

import pytest

from cuminhoist.listener_limits import ListenerLimits

from .builders_pipelining import OverlapApp, calling, get, post, started
from .waiting import eventually


async def test_requests_overlap_and_answers_keep_their_order():
    """Guards against requests that wait for answers they don't depend on."""
    app = OverlapApp()
    async with calling(app) as (caller, _):
        caller.send(get('/1'), get('/2'), post('/3', b'body'))
        await started(app, '/1', '/2', '/3')
        app.open('/3', '/2')
        await asyncio.sleep(0.05)
        app.open('/1')
        assert await caller.read_answer() == b'/1'
        assert await caller.read_answer() == b'/2'
        assert await caller.read_answer() == b'/3body'
    assert app.waits['/1'] == 0
    assert app.waits['/3'] > 0.04


async def test_request_that_runs_once_runs_alone():
    """Guards against a request that runs although the connection may end.

    Those behind it may depend on its effect.
    """
    app = OverlapApp()
    app.open('/1', '/2', '/4', '/5')
    app.gates['/2'].clear()
    async with calling(app) as (caller, _):
        caller.send(
            get('/1'), get('/2'), post('/once', b'x'), get('/4'), get('/5')
        )
        await started(app, '/1', '/2')
        app.open('/2')
        await started(app, '/1', '/2', '/once')
        app.open('/once')
        bodies = [await caller.read_answer() for _ in range(5)]
        assert bodies == [b'/1', b'/2', b'/oncex', b'/4', b'/5']


async def test_application_without_pipelining_gets_one_request_at_a_time():
    """Guards against orders of operators that run concurrently."""
    running = []
    most = []

    async def app(scope, _receive, send):
        running.append(scope['path'])
        most.append(len(running))
        await asyncio.sleep(0.01)
        running.remove(scope['path'])
        headers = [(b'content-length', b'0')]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send({'type': 'http.response.body', 'body': b''})

    async with calling(app) as (caller, server):
        server.server_state.overlaps_requests = False
        caller.send(*(get(f'/{number}') for number in range(5)))
        for _ in range(5):
            await caller.read_answer()
    assert most == [1] * 5


async def test_answer_is_streamed_as_soon_as_its_turn_comes():
    """Guards against answers that are held back until they are complete."""
    app = OverlapApp()
    app.open('/1')

    async def slow(scope, receive, send):
        async def send_slowly(message):
            await send(message)
            if message.get('more_body'):
                await app.gates['rest'].wait()

        await app(scope, receive, send_slowly)

    async with calling(slow) as (caller, _):
        caller.send(get('/1'), get('/2'))
        await caller.read_head()
        assert await caller.reader.readexactly(1) == b'/'
        app.open('rest', '/2')
        assert await caller.reader.readexactly(1) == b'1'
        assert await caller.read_answer() == b'/2'


async def test_requests_past_the_bound_wait_and_none_is_lost():
    """Guards against one connection that fills the memory with requests."""
    app = OverlapApp()
    paths = [f'/{number}' for number in range(50)]
    async with calling(app) as (caller, server):
        server.apply_limits(ListenerLimits(max_unanswered=4))
        caller.send(*(get(path) for path in paths))
        await started(app, *paths[:4])
        app.open('/0')
        await started(app, *paths[:5])
        app.open(*paths)
        bodies = [await caller.read_answer() for _ in paths]
        assert bodies == [path.encode() for path in paths]


async def test_bodies_past_the_bound_are_not_read_ahead():
    """Guards against memory that is filled with bodies of later requests."""
    app = OverlapApp()
    body = b'b' * 100_000
    paths = [f'/{number}' for number in range(9)]
    async with calling(app) as (caller, _):
        caller.send(*(post(path, body) for path in paths))
        await started(app, *paths[:3])
        app.open(*paths)
        bodies = [await caller.read_answer() for _ in paths]
        assert bodies == [path.encode() + body for path in paths]


async def test_disconnect_is_noticed_past_the_bound():
    """Guards against requests that run for a caller that has gone."""
    app = OverlapApp()
    async with calling(app) as (caller, server):
        server.apply_limits(ListenerLimits(max_unanswered=2))
        caller.send(*(get(f'/{number}') for number in range(9)))
        await started(app, '/0', '/1')
        caller.writer.transport.abort()
        await eventually(lambda: len(app.cancelled) == 2)
    assert app.started == ['/0', '/1']


async def test_interim_answer_waits_for_its_turn():
    """Guards against a 100 within the answer to an earlier request."""
    app = OverlapApp()
    async with calling(app) as (caller, _):
        head = post('/2', b'abc', 'expect: 100-continue')[:-3]
        caller.send(get('/1'), head)
        await started(app, '/1', '/2')
        app.open('/1', '/2')
        assert await caller.read_answer() == b'/1'
        assert b' 100 ' in await caller.read_head()
        caller.send(b'abc')
        assert await caller.read_answer() == b'/2abc'


@pytest.mark.parametrize('ends', ['/2!', '/2~', '/2-'])
async def test_nothing_runs_behind_an_answer_that_ends_the_connection(ends):
    """Guards against requests that run although nobody gets their answer."""
    app = OverlapApp()
    async with calling(app) as (caller, _):
        caller.send(
            get('/1'), get(ends), get('/3'), post('/once', b'x'), get('/5')
        )
        await started(app, '/1', ends, '/3')
        app.open(ends)
        await asyncio.sleep(0.05)
        app.open('/1')
        assert await caller.read_answer() == b'/1'
        rest = await caller.read_rest()
        await eventually(lambda: '/3' in app.cancelled)
        await asyncio.sleep(0.05)
    assert app.started == ['/1', ends, '/3']
    assert rest.endswith({'!': b'/2!', '~': b'/', '-': b''}[ends[-1]])
    assert b'/3' not in rest


async def test_nothing_is_read_behind_a_request_that_ends_the_connection():
    """Guards against a request that starts before it is known to be read."""
    app = OverlapApp()
    async with calling(app) as (caller, _):
        caller.send(get('/1'), get('/2', 'connection: close'), get('/3'))
        await started(app, '/1', '/2')
        app.open('/1', '/2', '/3')
        assert await caller.read_answer() == b'/1'
        assert b'connection: close' in await caller.read_head()
        assert await caller.read_rest() == b'/2'
    assert app.started == ['/1', '/2']


async def test_fault_in_a_later_body_does_not_cut_earlier_answers():
    """Guards against losing answers to a fault in another request."""
    app = OverlapApp()
    async with calling(app) as (caller, _):
        head = b'POST /2 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n'
        caller.send(get('/1'), head + b'\r\nzz\r\n')
        await started(app, '/1')
        app.open('/1', '/2')
        assert await caller.read_answer() == b'/1'
        assert await caller.read_rest() == b''


async def test_disconnect_cancels_all_requests():
    """Guards against requests that run for a caller that has gone."""
    app = OverlapApp()
    async with calling(app) as (caller, _):
        caller.send(get('/1'), get('/2'), post('/once', b'x'), get('/3'))
        await started(app, '/1', '/2')
        caller.writer.transport.abort()
        await eventually(lambda: {'/1', '/2'} <= set(app.cancelled))
        app.open('/1', '/2', '/once', '/3')
        await asyncio.sleep(0.05)
    assert app.started == ['/1', '/2']


async def test_drain_answers_what_was_read_and_reads_no_more():
    """Guards against requests cut by a stop, and a stop that never ends."""
    app = OverlapApp()
    async with calling(app) as (caller, server):
        caller.send(get('/1'), get('/2'), post('/once', b'x'))
        await started(app, '/1', '/2')
        server.start_drain()
        caller.send(get('/4'))
        await asyncio.sleep(0.05)
        app.open('/1', '/2', '/once', '/4')
        for path in ('/1', '/2'):
            assert b'connection: close' not in await caller.read_head()
            assert await caller.reader.readexactly(2) == path.encode()
        assert b'connection: close' in await caller.read_head()
        assert await caller.read_rest() == b'/oncex'
    assert app.started == ['/1', '/2', '/once']


async def test_body_is_read_to_its_end_beside_an_answer_that_closes():
    """Guards against a truncated body of the request that is answered."""
    received = []

    async def app(scope, receive, send):
        await scope['state']['pipelined_request'].wait_to_start(overlaps=True)
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [
                    (b'content-length', b'2'),
                    (b'connection', b'close'),
                ],
            }
        )
        more = True
        while more:
            event = await receive()
            received.append(event.get('body', b''))
            more = event.get('more_body', False)
        await send({'type': 'http.response.body', 'body': b'ok'})

    async with calling(app) as (caller, _):
        caller.send(post('/1', b'x' * 300_000)[:1000])
        assert b'200' in await caller.read_head()
        caller.send(post('/1', b'x' * 300_000)[1000:], get('/2'))
        assert await caller.read_rest() == b'ok'
    assert sum(map(len, received)) == 300_000
