"""Tests of requests through a gateway: answers, retries, refusals, deadlines.

The targets answer late, twice, in part or not at all, shed requests or close
the connection.
"""

import asyncio

import msgspec
import pytest

from cuminhoist import httpserver
from cuminhoist.gateway import request_proxy
from cuminhoist.gateway.routes import CallerLimits, RepeatPolicy
from tests.waiting import eventually

from .builders import ScriptedTarget, answer, gateway, header


async def test_answer_is_passed_on_unchanged():
    """Guards against changes to the status, headers and body of an answer."""
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        received = await harness.request()
    assert received.startswith(b'HTTP/1.1 200')
    assert b'x-server-stamp: stamp' in received
    assert received.endswith(b'whole')
    head = target.heads[0]
    assert head.startswith(b'GET /a/x HTTP/1.1\r\n')
    assert header(head, 'x-expect-instance') == 't0'
    assert 0 < int(header(head, 'x-deadline-ms')) <= 1000


async def test_unknown_route_is_final_only_with_the_newest_routes():
    """Guards against a 404 for a route that a newer configuration has."""
    async with gateway(ScriptedTarget(answer)) as harness:
        received = await harness.request(path='/new/x')
        assert received.startswith(b'HTTP/1.1 404')
        harness.proxy.routing_state.routes_confirmed = False
        received = await harness.request(path='/new/x')
        assert received.startswith(b'HTTP/1.1 503')
        assert b'retry-after: ' in received


async def test_late_answer_of_an_earlier_request_is_skipped():
    """Guards against sending a caller the answer to another request."""

    def script(head):
        other = answer(head, b'other').replace(b'id1', b'id0')
        return other + answer(head)

    async with gateway(ScriptedTarget(script)) as harness:
        received = await harness.request()
    assert received.endswith(b'whole')
    assert b'other' not in received


async def test_second_answer_is_not_kept_for_the_next_request():
    """Guards against reusing a connection with unread bytes of an answer."""
    target = ScriptedTarget(lambda head: answer(head) + answer(head, b'more!'))
    async with gateway(target) as harness:
        for number in range(3):
            received = await harness.request(request_id=f'id{number}')
            assert received.endswith(b'whole')


async def test_cut_answer_is_repeated_for_idempotent_requests():
    """Guards against failing a read that another target can serve."""
    cut = ScriptedTarget(
        lambda head: answer(head, content_length='900') + b'connection: close'
    )
    good = ScriptedTarget(answer)
    async with gateway(cut, good) as harness:
        for number in range(4):
            received = await harness.request(request_id=f'id{number}')
            assert received.endswith(b'whole')
    assert good.heads


async def test_request_that_may_have_run_is_never_repeated():
    """Guards against a request that runs twice, such as a booking."""
    targets = [ScriptedTarget(lambda head: b'') for _ in range(2)]
    async with gateway(*targets, repeat=RepeatPolicy.once) as harness:
        received = await harness.request('POST', body=b'pay')
    assert received.startswith(b'HTTP/1.1 502')
    assert sum(len(target.heads) for target in targets) == 1


async def test_unrun_request_goes_to_another_target():
    """Guards against refusing a request that another target would run."""

    def shed(head):
        return answer(head, status='503 Full', x_not_executed='1')

    full, good = ScriptedTarget(shed), ScriptedTarget(answer)
    async with gateway(full, good, repeat=RepeatPolicy.once) as harness:
        for number in range(4):
            received = await harness.request(
                'POST', body=b'pay', request_id=f'id{number}'
            )
            assert received.startswith(b'HTTP/1.1 200')
    assert set(good.bodies) == {b'pay'}


async def test_refusal_of_an_unrun_request_says_when_to_come_back():
    """Guards against refusals without the time of the next retry."""

    def shed(head):
        return answer(head, status='503 Full', x_not_executed='1')

    async with gateway(ScriptedTarget(shed)) as harness:
        received = await harness.request()
    assert received.startswith(b'HTTP/1.1 503')
    assert b'retry-after: ' in received
    assert b'"ran":"not-run"' in received


async def test_silent_target_ends_at_the_timeout_of_the_route():
    """Guards against requests that stay open past their timeout."""
    target = ScriptedTarget(lambda head: None)
    async with gateway(target, timeout_s=0.2) as harness:
        received = await harness.request(deadline_ms=60_000)
        await eventually(lambda: target.closed_connections == 1)
    assert received.startswith(b'HTTP/1.1 504')
    assert int(header(target.heads[0], 'x-deadline-ms')) <= 200


async def test_target_stops_when_the_caller_leaves():
    """Guards against targets that work for callers that have disconnected."""
    target = ScriptedTarget(lambda head: None)
    async with gateway(target) as harness:
        await harness.send_and_disconnect(target)
        await eventually(lambda: target.closed_connections == 1)
        await eventually(lambda: not harness.proxy.running_requests)


async def test_answer_without_length_that_is_cut_does_not_look_whole():
    """Guards against passing on a truncated answer as a complete one."""

    def endless(head):
        text = answer(head, b'x' * 200_000, content_length='900000')
        return text + b'connection: close'

    async with gateway(ScriptedTarget(endless), max_targets=1) as harness:
        received = await harness.request()
    _, _, body = received.partition(b'\r\n\r\n')
    assert len(body) < 900_000


async def test_early_answer_to_a_long_body():
    """Guards against a request that hangs because its body is not read."""

    def script(head):
        return answer(head, b'no', status='400 Bad') + b''

    async with gateway(ScriptedTarget(script)) as harness:
        received = await harness.request('POST', body=b'x' * 100_000)
    assert received.startswith(b'HTTP/1.1 400')


async def test_no_configuration_is_not_an_unknown_route():
    """Guards against status 404 while there is no configuration yet."""
    async with gateway(ScriptedTarget(answer)) as harness:
        routing_state = harness.proxy.routing_state
        routes, routing_state.routes = routing_state.routes, None
        assert (await harness.request()).startswith(b'HTTP/1.1 503')
        routing_state.routes = routes
        assert (await harness.request(path='/b/')).startswith(b'HTTP/1.1 404')


async def test_stopping_instance_refuses_truly():
    """Guards against requests that a stopping process accepts and drops."""
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        harness.proxy.routing_state.refuses_requests = True
        received = await harness.request()
    assert received.startswith(b'HTTP/1.1 503')
    assert not target.heads


async def test_unlisted_target_is_left_out():
    """Guards against attempts at a granted target that has left the list."""
    unlisted, good = ScriptedTarget(answer), ScriptedTarget(answer)
    async with gateway(unlisted, good) as harness:
        harness.proxy.routing_state.targets.pop('t0')
        for number in range(4):
            received = await harness.request(request_id=f'id{number}')
            assert received.startswith(b'HTTP/1.1 200')
    assert not unlisted.heads


async def test_attempts_stay_within_the_budget():
    """Guards against retries that multiply the load of a failing service."""
    targets = [
        ScriptedTarget(lambda head: answer(head, status='500 Failed'))
        for _ in range(2)
    ]
    async with gateway(*targets) as harness:
        routing_state = harness.proxy.routing_state
        harness.proxy._retry_ratio = 0.2
        harness.proxy._min_retry_budget = 1
        routing_state.entry_count = 8
        for number in range(40):
            await harness.request(request_id=f'id{number}')
    arrivals = sum(len(target.heads) for target in targets)
    assert 40 <= arrivals <= 40 * 1.2 + 2


async def test_body_over_the_limit_is_refused():
    """Guards against bodies that fill the memory of an instance."""
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        routes = harness.proxy.routing_state.routes
        harness.proxy.routing_state.routes = msgspec.structs.replace(
            routes,
            limits=CallerLimits(max_body_bytes=10),
        )
        received = await harness.request('POST', body=b'x' * 11)
    assert received.startswith(b'HTTP/1.1 413')
    assert not target.heads


def test_route_selection_takes_the_longest_prefix():
    """Guards against choosing the wrong route of a host."""
    from cuminhoist.gateway.routes import RouteTable

    from .builders import HOST, route

    long, short = route(name='long', prefix='/a/b/'), route(name='short')
    table = RouteTable(1, {HOST: (long, short)}, {})
    assert table.find(HOST, '/a/b/c').name == 'long'
    assert table.find(HOST, '/a/c').name == 'short'
    assert table.find(HOST, '/c/') is None
    assert msgspec.structs.replace(long, name='x') != long


async def test_line_says_why_there_was_no_further_attempt(monkeypatch):
    """Guards against a log line that does not tell why there was no retry.

    It happened when a retry was allowed but the retry budget was exhausted.
    """
    lines = []
    monkeypatch.setattr(
        request_proxy,
        'log_request',
        lambda **fields: lines.append(fields),
    )
    targets = [ScriptedTarget(lambda _head: b'') for _ in range(2)]
    async with gateway(*targets) as harness:
        harness.proxy._retry_ratio = 0
        harness.proxy._min_retry_budget = 0
        await harness.request()
        await harness.request('POST', request_id='id2', body=b'x')
    assert 'no further attempt: the budget is spent' in lines[0]['trail']
    assert lines[0]['outcome'] == 'failed-target-lost'


async def test_line_of_a_one_time_request_that_failed(monkeypatch):
    """Guards against a missing retry whose reason is not logged."""
    lines = []
    monkeypatch.setattr(
        request_proxy,
        'log_request',
        lambda **fields: lines.append(fields),
    )
    target = ScriptedTarget(lambda _head: b'')
    async with gateway(target, repeat=RepeatPolicy.once) as harness:
        await harness.request()
    assert 'no further attempt: it may have run' in lines[0]['trail']


async def test_objective_counts_the_round_trip_to_the_caller(monkeypatch):
    """Guards against answers that leave in time and arrive too late."""
    seen = []
    async with gateway(ScriptedTarget(answer)) as harness:
        client = harness.proxy._placement_client
        place = client.request_placement

        async def record(req):
            seen.append(req.objective_left_s)
            return await place(req)

        monkeypatch.setattr(client, 'request_placement', record)
        for round_trip_s in (0, 0.2):
            monkeypatch.setattr(
                httpserver, 'round_trip_s', lambda _transport, s=round_trip_s: s
            )
            await harness.request()
    assert seen[0] - seen[1] > 0.1


@pytest.mark.parametrize('status', ['200 OK', '500 Failed', '503 Full'])
async def test_announced_stop_is_handed_over_before_the_report(status):
    """Guards against a slot of a leaving target that is granted once more.

    The report frees the slot, so the announcement has to come first.
    """
    target = ScriptedTarget(
        lambda head: answer(head, status=status, server_leaving='1')
    )
    events = []
    async with gateway(target, max_targets=1) as harness:
        client = harness.proxy._placement_client
        client.report_attempt_end = lambda report: events.append(report.target)
        harness.proxy.on_target_leaving = lambda entry, request_id: (
            events.append((entry.name, request_id))
        )
        await harness.request()
    assert events == [('t0', 'id1'), 't0']


async def test_streamed_answer_announces_the_stop_before_its_end():
    """Guards against requests to a leaving target during a long answer."""
    known, finished = asyncio.Event(), asyncio.Event()
    body = [b'x' * 100_000, b'end']

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        head = f'HTTP/1.1 200 OK\r\ncontent-length: {len(b"".join(body))}\r\n'
        head += 'x-request-id: id1\r\nx-server-stamp: s\r\nserver-leaving: 1'
        writer.write(f'{head}\r\n\r\n'.encode() + body[0])
        await asyncio.wait_for(known.wait(), 5)
        finished.set()
        writer.write(body[1])

    target = ScriptedTarget(answer)
    target._serve = serve
    async with gateway(target) as harness:
        harness.proxy.on_target_leaving = lambda *_: known.set()
        received = await harness.request()
    assert finished.is_set()
    assert received.endswith(b'end')


async def test_answer_without_the_announcement_is_no_notice():
    """Guards against taking out targets that merely close a connection."""
    target = ScriptedTarget(lambda head: answer(head, connection='close'))
    noticed = []
    async with gateway(target) as harness:
        harness.proxy.on_target_leaving = lambda *args: noticed.append(args)
        await harness.request()
    assert not noticed
