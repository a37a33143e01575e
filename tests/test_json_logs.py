"""Tests of structured log lines."""

import datetime
import json
from types import SimpleNamespace

from cuminhoist.json_logs import MAX_LINES_PER_S, MAX_WAITING_BYTES, JsonLogSink


def _message(text='request', second=0, **extra):
    when = datetime.datetime.fromtimestamp(1000 + second, datetime.UTC)
    record = {
        'time': when,
        'level': SimpleNamespace(name='INFO'),
        'message': text,
        'extra': extra,
        'exception': None,
    }
    return SimpleNamespace(record=record)


def test_line_holds_the_fields():
    """Guards against lines that cannot be searched by identity."""
    written = []
    sink = JsonLogSink(lambda text: written.append(text) or len(text))
    sink(_message(id='abc', outcome='answered-200'))
    line = json.loads(written[0])
    assert line['event'] == 'request'
    assert line['id'] == 'abc'


def test_volume_is_bounded():
    """Guards against logs that use up the machine under load."""
    written = []
    sink = JsonLogSink(lambda text: written.append(text) or len(text))
    for _ in range(3 * MAX_LINES_PER_S):
        sink(_message())
    assert len(written) == MAX_LINES_PER_S
    sink(_message(second=1))
    last = json.loads(written[-1])
    assert last['dropped_lines'] == 2 * MAX_LINES_PER_S


def test_reader_that_does_not_read_blocks_nothing():
    """Guards against a process that waits for its log."""

    def blocked(text):
        raise BlockingIOError

    sink = JsonLogSink(blocked)
    for second in range(2000):
        sink(_message(second=second, text='x' * 500))
    assert sink.dropped
    assert len(sink._waiting) <= MAX_WAITING_BYTES
