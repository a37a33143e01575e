"""Tests that load headers which can't be parsed are logged, and ignored."""

from cuminhoist.gateway import load_header_log
from cuminhoist.gateway.load_header_log import LoadHeaderLog
from cuminhoist.gateway.request_metrics import RequestMetrics

from .builders import ScriptedTarget, answer, gateway


def _lines(monkeypatch):
    lines = []
    monkeypatch.setattr(
        load_header_log, 'log_odd_load', lambda **line: lines.append(line)
    )
    return lines


async def test_invalid_load_is_logged_once_and_ignored(monkeypatch):
    """Guards against a line for each answer, and against a lost target."""
    lines = _lines(monkeypatch)
    target = ScriptedTarget(lambda head: answer(head, x_server_load='1,0,3,?'))
    async with gateway(target) as harness:
        for number in range(3):
            received = await harness.request(request_id=f'id{number}')
            assert received.startswith(b'HTTP/1.1 200')
    assert [(line['id'], line['target']) for line in lines] == [('id0', 't0')]
    assert lines[0]['text'] == '1,0,3,?'


def test_log_remembers_a_bounded_number_of_targets(monkeypatch):
    """Guards against memory that grows with the names of targets."""
    lines = _lines(monkeypatch)
    log = LoadHeaderLog(RequestMetrics())
    count = load_header_log.MAX_LOGGED_TARGETS + 20
    for number in range(count):
        for _ in range(2):
            log.record('id', 'catalogue', f't{number}', 'odd')
    assert len(lines) == count
    assert len(log._logged) == load_header_log.MAX_LOGGED_TARGETS
