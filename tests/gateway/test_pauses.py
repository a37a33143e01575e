"""Tests of targets that answer 503 and ask for a pause with retry-after.

They guard against requests that reach a target during its pause, and against
callers that are held or sent back too early because of it.
"""

import asyncio

import msgspec
import pytest

from cuminhoist.gateway import target_pause_log
from cuminhoist.gateway.placement_client import DispatcherClient
from cuminhoist.gateway.routes import RepeatPolicy
from cuminhoist.steering.decisions import Ending, Granted
from cuminhoist.steering.tracked_target import TrackedTarget

from .builders import SERVICE, ScriptedTarget, answer, gateway, header


class _UnawareDispatcher(DispatcherClient):
    """Grants the first target that is not excluded, paused or not.

    :param harness: the gateway that sends the placement requests.
    """

    def __init__(self, harness):
        self.available = True
        self.requests = []
        self.reports = []
        self._harness = harness

    def is_available(self):
        return self.available

    def send_request(self, req):
        self.requests.append(req)
        name = next(
            name for name in ('t0', 't1', 't2') if name not in req.excluded
        )
        self._harness.proxy._placement_client.handle_decision(
            Granted(req.number, name)
        )

    def report_attempt_end(self, report):
        self.reports.append(report)

    def withdraw(self, number, service):
        raise AssertionError('not withdrawn')


def _use_dispatcher(harness):
    dispatcher = _UnawareDispatcher(harness)
    harness.proxy._placement_client._remote = dispatcher
    return dispatcher


def _pausing(retry_after='5', **headers):
    fields = {'x_not_executed': '1', **headers}
    return ScriptedTarget(
        lambda head: answer(
            head, status='503 Busy', retry_after=retry_after, **fields
        )
    )


def _retry_after_s(received):
    return float(header(received, 'retry-after'))


def _pause_count(harness, outcome):
    return harness.proxy._metrics.registry.get_sample_value(
        'cuminhoist_target_pauses_total',
        {'service': SERVICE, 'outcome': outcome},
    )


async def test_paused_target_gets_no_more_requests():
    """Guards against requests at a target during the pause it asked for.

    The other target is silent, so that its slots fill up.
    """
    paused, silent = _pausing(), ScriptedTarget(lambda _head: None)
    async with gateway(paused, silent, timeout_s=0.3) as harness:
        await harness.request()
        await asyncio.gather(
            *(harness.request(request_id=f'id{number}') for number in range(6))
        )
    assert len(paused.heads) == 1


async def test_grant_that_crossed_the_pause_is_not_sent():
    """Guards against grants of a dispatcher that does not know the pause.

    The paused target was sent nothing, so it must not count against the
    targets that the route allows.
    """
    paused, good = _pausing(), ScriptedTarget(answer)
    async with gateway(paused, good, max_targets=1) as harness:
        dispatcher = _use_dispatcher(harness)
        first = await harness.request()
        second = await harness.request(request_id='id2')
        assert _pause_count(harness, 'grant-returned') == 1
    assert first.startswith(b'HTTP/1.1 503')
    assert second.startswith(b'HTTP/1.1 200')
    assert len(paused.heads) == 1
    assert [report.ending for report in dispatcher.reports] == [
        Ending.shed,
        Ending.withdrawn,
        Ending.answered,
    ]


async def test_paused_target_does_not_use_up_an_attempt():
    """Guards against counting a target that was sent nothing.

    The route allows two targets; the first one pauses, the second one fails.
    """
    cut, good = ScriptedTarget(lambda _head: b''), ScriptedTarget(answer)
    async with gateway(_pausing(), cut, good) as harness:
        _use_dispatcher(harness)
        first = await harness.request()
        second = await harness.request(request_id='id2')
    assert first.startswith(b'HTTP/1.1 502')
    assert second.startswith(b'HTTP/1.1 200')


async def test_report_names_the_pause_and_the_start_of_the_target():
    """Guards against a dispatcher that cannot tell starts apart."""
    async with gateway(_pausing('1.5')) as harness:
        targets = harness.proxy.routing_state.targets
        targets['t0'] = msgspec.structs.replace(targets['t0'], started_at_ms=77)
        dispatcher = _use_dispatcher(harness)
        await harness.request()
    (report,) = dispatcher.reports[:1]
    assert (report.pause_s, report.target_started_at_ms) == (1.5, 77)


@pytest.mark.parametrize('not_run', [{}, {'x_not_executed': '1'}])
async def test_pause_counts_from_the_head_of_its_answer(not_run):
    """Guards against waiting for a body that is late, or never ends."""
    fields = {'retry_after': '5', 'content_length': '900', **not_run}
    paused = ScriptedTarget(
        lambda head: answer(head, status='503 Busy', **fields)
    )
    good = ScriptedTarget(answer)
    async with gateway(paused, good) as harness:
        for number in range(3):
            received = await harness.request(request_id=f'id{number}')
            assert received.startswith(b'HTTP/1.1 200')
    assert len(paused.heads) == 1


async def test_pause_of_a_truncated_answer_counts():
    """Guards against a pause that is lost with the body of its answer."""
    fields = {'retry_after': '5', 'content_length': '900'}
    target = ScriptedTarget(
        lambda head: (
            answer(head, status='503 Busy', **fields) + b'connection: close'
        )
    )
    async with gateway(target) as harness:
        for number in range(3):
            await harness.request(request_id=f'id{number}')
    assert len(target.heads) == 1


async def test_cut_instance_keeps_its_pauses():
    """Guards against a local dispatcher that does not know the pauses."""
    paused, good = _pausing(), ScriptedTarget(answer)
    async with gateway(paused, good) as harness:
        dispatcher = _use_dispatcher(harness)
        await harness.request()
        dispatcher.available = False
        for number in range(5):
            await harness.request(request_id=f'id{number}')
    assert len(paused.heads) == 1
    assert len(good.heads) == 6


async def test_only_target_pauses():
    """Guards against callers that return while the only target pauses."""
    target = _pausing('2')
    async with gateway(target, timeout_s=7) as harness:
        for number in range(3):
            received = await harness.request(
                request_id=f'id{number}', deadline_ms=7000
            )
            assert received.startswith(b'HTTP/1.1 503')
            assert b'"ran":"not-run"' in received
            assert 1.5 < _retry_after_s(received) <= 2
    assert len(target.heads) == 1


@pytest.mark.parametrize(
    ('paused_count', 'shortest_s', 'longest_s'), [(1, 0, 0.3), (2, 1.5, 2)]
)
async def test_time_to_return_without_a_retry(
    paused_count, shortest_s, longest_s
):
    """Guards against a wrong time to return when no retry is allowed."""
    targets = [_pausing('2') for _ in range(2)]
    async with gateway(*targets, max_targets=1) as harness:
        for number in range(paused_count):
            received = await harness.request(request_id=f'id{number}')
            assert received.startswith(b'HTTP/1.1 503')
    assert shortest_s < _retry_after_s(received) <= longest_s


async def test_refusal_that_may_have_run_is_repeated_if_idempotent():
    """Guards against failing a read that another target can serve."""
    paused = ScriptedTarget(
        lambda head: answer(head, status='503 Busy', retry_after='5')
    )
    good = ScriptedTarget(answer)
    async with gateway(paused, good) as harness:
        for number in range(4):
            received = await harness.request(request_id=f'id{number}')
            assert received.startswith(b'HTTP/1.1 200')
    assert len(paused.heads) <= 1


async def test_refusal_that_may_have_run_is_never_repeated():
    """Guards against a booking that runs twice.

    Only the header for requests that were not run promises that; a caller
    would repeat the request after a 503.
    """
    targets = [
        ScriptedTarget(
            lambda head: answer(head, status='503 Busy', retry_after='5')
        )
        for _ in range(2)
    ]
    async with gateway(*targets, repeat=RepeatPolicy.once) as harness:
        received = await harness.request('POST', body=b'pay')
    assert received.startswith(b'HTTP/1.1 502')
    assert b'retry-after' not in received
    assert sum(len(target.heads) for target in targets) == 1


@pytest.mark.parametrize(
    'text', ['0', '-3', 'soon', 'Fri, 04 Dec 2026 08:00:00 GMT']
)
async def test_odd_pause_is_ignored(monkeypatch, text):
    """Guards against a target that is lost by one odd header."""
    lines = []
    monkeypatch.setattr(
        target_pause_log, 'log_odd_pause', lambda **line: lines.append(line)
    )
    target = _pausing(text, x_server_load='0,0,3')
    async with gateway(target) as harness:
        for number in range(3):
            await harness.request(request_id=f'id{number}')
        assert _pause_count(harness, 'ignored') == 3
    assert len(target.heads) == 3
    assert [(line['id'], line['text']) for line in lines] == [('id0', text)]


async def test_long_pause_is_bounded(monkeypatch):
    """Guards against a target that is lost for an hour."""
    lines = []
    monkeypatch.setattr(
        target_pause_log, 'log_odd_pause', lambda **line: lines.append(line)
    )
    async with gateway(_pausing('3600')) as harness:
        received = await harness.request()
        assert _pause_count(harness, 'bounded') == 1
    assert _retry_after_s(received) <= 30
    assert [line['text'] for line in lines] == ['3600']


async def test_pause_is_counted_and_logged(monkeypatch):
    """Guards against pauses that leave no trace for the on-call engineer."""
    lines = []
    monkeypatch.setattr(
        target_pause_log, 'log_pause', lambda **line: lines.append(line)
    )
    async with gateway(_pausing('1.5')) as harness:
        await harness.request(request_id='id7')
        assert _pause_count(harness, 'kept') == 1
    (line,) = lines
    assert (line['id'], line['target']) == ('id7', 't0')
    assert line['pause_s'] == pytest.approx(1.5)


async def test_restarted_target_is_used_again():
    """Guards against a pause that binds the next start of a target."""
    answers = [b'503 Busy', b'200 OK']

    def script(head):
        status = answers.pop(0).decode()
        fields = {} if status == '200 OK' else {'x_not_executed': '1'}
        return answer(head, status=status, retry_after='5', **fields)

    async with gateway(ScriptedTarget(script)) as harness:
        routing = harness.proxy.routing_state
        local = harness.proxy._placement_client.local_dispatcher
        for started_at_ms in (1000, 2000):
            entry = msgspec.structs.replace(
                routing.targets['t0'], started_at_ms=started_at_ms
            )
            routing.targets = {'t0': entry}
            tracked = {'t0': TrackedTarget(entry, 'r')}
            local.set_targets(SERVICE, tracked, 'r')
            received = await harness.request(request_id=f'i{started_at_ms}')
    assert received.startswith(b'HTTP/1.1 200')
