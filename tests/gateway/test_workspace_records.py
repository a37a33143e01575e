"""Tests of what logs, metrics and answers tell about workspaces and keys."""

import asyncio
import contextlib
import json

from cuminhoist.gateway.busiest_names import (
    MAX_NAMES,
    REST,
    REVIEW_REQUESTS,
    BusiestNames,
)
from cuminhoist.gateway.request_metrics import RequestMetrics
from cuminhoist.gateway.workspaces import Workspace
from cuminhoist.json_logs import JsonLogSink
from cuminhoist.logging_setup import _root_logger
from cuminhoist.steering.targets import TargetEntry, TargetState

from .builders import HOST, ScriptedTarget, answer, bearer, gateway

KEY = 'sk-8731-not-to-be-seen'
OWN = (Workspace('own'), (KEY,))


@contextlib.contextmanager
def _logged():
    """Collect all log lines as the process would write them."""
    lines = bytearray()

    def write(line):
        lines.extend(line)
        return len(line)

    sink = _root_logger.add(JsonLogSink(write), level=0, format='{message}')
    try:
        yield lines
    finally:
        _root_logger.remove(sink)


def _fail(head):
    return answer(head, status='500 Failed')


def _shed(head):
    return answer(head, status='503 Full', x_not_executed='1')


async def _send_raw(harness, head):
    reader, writer = await asyncio.open_connection('127.0.0.1', harness.port)
    writer.write(head)
    writer.write_eof()
    received = await reader.read()
    writer.close()
    return received


_KEY_LINE = f'Authorization: Bearer {KEY}\r\n'
_START = f'GET /a/x HTTP/1.1\r\nHost: {HOST}\r\n'
MALFORMED = (
    f'{_START}Authorization Bearer {KEY}\r\n\r\n',
    f'{_START}Authorization: Bearer {KEY}\0\r\n\r\n',
    f'{_START}Host: b\r\n{_KEY_LINE}\r\n',
    f'GET /a/x HTTP/9.1\r\n{_KEY_LINE}\r\n',
    f'GET /a/x HTTP/1.1\r\nHost: \r\n{_KEY_LINE}\r\n',
    f'{_START}X-Long: {"x" * 70000}\r\n{_KEY_LINE}\r\n',
)


async def test_no_key_is_seen_outside_of_the_request():
    """Guards against keys in logs, metrics, answers and requests to targets.

    Requests are served, refused, failed, retried, relayed and malformed.
    """
    scripts = (answer, _fail, _shed, lambda head: b'')
    targets = [ScriptedTarget(script) for script in scripts]
    peer = ScriptedTarget(answer)
    received = []
    with _logged() as lines:
        async with gateway(*targets, max_targets=2) as harness:
            for entry in (OWN, (Workspace('own'), ())):
                harness.set_workspaces(entry)
                for path in ('/a/x', '/unknown'):
                    received += [
                        await harness.request(path=path, fields=bearer(KEY))
                        for _ in range(6)
                    ]
                received += [
                    await _send_raw(harness, head.encode())
                    for head in MALFORMED
                ]
            harness.set_workspaces(OWN)
            address = await peer.start()
            harness.proxy.relay.find_peers = lambda _regions: [
                TargetEntry('p', '', address, 'y', 8, TargetState.ready)
            ]
            harness.proxy.reachability.is_cut = True
            received.append(await harness.request(fields=bearer(KEY)))
            peer.stop()
            metrics = harness.proxy._metrics.render()
    heads = b''.join(head for target in targets for head in target.heads)
    assert heads and peer.heads and lines
    assert b'workspace="own"' in metrics
    seen = b''.join((*received, heads, *peer.heads, metrics, bytes(lines)))
    # A part of the key would help to guess it.
    assert KEY[:8].encode() not in seen
    statuses = {part[9:12] for part in received}
    assert {b'200', b'401', b'404', b'400'} <= statuses


async def test_log_line_names_the_workspace(monkeypatch):
    """Guards against requests that can't be found by their workspace."""
    with _logged() as lines:
        async with gateway(ScriptedTarget(answer)) as harness:
            harness.set_workspaces(OWN)
            await harness.request(fields=bearer(KEY))
            await harness.request(fields=bearer('wrong'), request_id='id2')
    requests = [
        line
        for line in map(json.loads, lines.splitlines())
        if line['event'] == 'request'
    ]
    served, refused = requests
    assert served['workspace'] == 'own'
    assert refused['outcome'] == 'refused-unknown-key'
    assert refused['detail'] == 'The key is unknown.'
    assert refused['id'] == 'id2'


def test_busiest_workspaces_keep_their_labels():
    """Guards against metrics whose size grows with the workspaces."""
    metrics = RequestMetrics()
    for number in range(8 * REVIEW_REQUESTS):
        # Each small workspace sends one request in all.
        large = number % 4 < 2
        name = f'large{number % 2}' if large else f'small{number}'
        metrics.count_workspace(name, 'answered-200')
    samples = {
        sample.labels['workspace']: sample.value
        for family in metrics.workspace_requests.collect()
        for sample in family.samples
        if sample.name.endswith('_total')
    }
    assert len(samples) <= MAX_NAMES + 1
    assert samples['large0'] == samples['large1'] == 2 * REVIEW_REQUESTS
    # Requests that were counted under a label that ended are not shown.
    assert 3 * REVIEW_REQUESTS < samples[REST] <= 4 * REVIEW_REQUESTS


def test_workspace_that_becomes_busy_gets_a_label():
    """Guards against labels that stay with those who came first."""
    names = BusiestNames()
    for number in range(REVIEW_REQUESTS):
        names.count(f'early{number % MAX_NAMES}')
    names.review()
    assert names.count('late') == REST
    for _ in range(REVIEW_REQUESTS):
        names.count('late')
    assert len(names.review()) == 1
    assert names.count('late') == 'late'


def test_workspace_with_the_name_of_the_rest_is_counted_with_it():
    """Guards against removing the common label with one workspace."""
    names = BusiestNames()
    names.count(REST)
    for number in range(2 * REVIEW_REQUESTS):
        names.count(f'w{number % MAX_NAMES}')
    assert REST not in names.review()


async def test_without_workspaces_none_is_counted():
    """Guards against new series in deployments without workspaces."""
    async with gateway(ScriptedTarget(answer)) as harness:
        await harness.request()
        metrics = harness.proxy._metrics.render()
    assert b'cuminhoist_workspace_requests_total{' not in metrics
