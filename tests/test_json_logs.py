"""JSON log lines under load and with a reader that stops reading.

The tests guard against logs that use up the machine or block the process.
"""

import datetime
import json
from types import SimpleNamespace

from cuminhoist.json_logs import (
    MAX_BUFFERED_BYTES,
    MAX_LINES_PER_S,
    JsonLogSink,
)


def _log_message(text='request', second=0, **extra):
    logged_at = datetime.datetime.fromtimestamp(1000 + second, datetime.UTC)
    record = {
        'time': logged_at,
        'level': SimpleNamespace(name='INFO'),
        'message': text,
        'extra': extra,
        'exception': None,
    }
    return SimpleNamespace(record=record)


def test_line_holds_the_fields():
    """Guards against lines without the fields to search them by."""
    lines = []
    sink = JsonLogSink(lambda text: lines.append(text) or len(text))
    sink(_log_message(id='abc', outcome='answered-200'))
    fields = json.loads(lines[0])
    assert fields['event'] == 'request'
    assert fields['id'] == 'abc'


def test_volume_is_bounded():
    """Guards against unbounded lines per second under load."""
    lines = []
    sink = JsonLogSink(lambda text: lines.append(text) or len(text))
    for _ in range(3 * MAX_LINES_PER_S):
        sink(_log_message())
    assert len(lines) == MAX_LINES_PER_S
    sink(_log_message(second=1))
    last_fields = json.loads(lines[-1])
    assert last_fields['dropped_lines'] == 2 * MAX_LINES_PER_S


def test_reader_that_does_not_read_blocks_nothing():
    """Guards against a process that blocks or buffers without bound."""

    def raise_blocking(text):
        raise BlockingIOError

    sink = JsonLogSink(raise_blocking)
    for second in range(2000):
        sink(_log_message(second=second, text='x' * 500))
    assert sink.dropped
    assert len(sink._buffered) <= MAX_BUFFERED_BYTES


def test_write_that_takes_nothing_blocks_nothing():
    """Guards against a log line that holds up the process for ever."""
    calls = []

    def take_nothing(text):
        calls.append(text)
        assert len(calls) < 10, 'the write is repeated for ever'
        return 0

    sink = JsonLogSink(take_nothing)
    sink(_log_message())
    sink(_log_message('again'))
    assert calls[-1].count(b'\n') == 2


def test_field_without_encoding_is_logged_in_another_form():
    """Guards against an error in the code that writes a log line.

    A line may tell of what others have sent, such as a number over 64 bits.
    """
    lines = []
    sink = JsonLogSink(lambda text: lines.append(text) or len(text))
    deep = current = []
    for _ in range(2000):
        current.append([])
        current = current[0]
    sink(_log_message(text='\ud800', version=2**64, name='\udce9', deep=deep))
    fields = json.loads(lines[0])
    assert str(2**64) in str(fields['version'])
    assert sink.dropped == 0
