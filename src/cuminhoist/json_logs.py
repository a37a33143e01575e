"""Structured log lines on standard output, bounded and never blocking."""

import os
import sys
from collections.abc import Callable
from typing import Any

import msgspec
from loguru import logger as _root

#: Lines a second that are written at most; further ones are counted.
MAX_LINES_PER_S = 400
#: Bytes that wait for a reader of standard output; further ones are dropped.
MAX_WAITING_BYTES = 256 * 1024

_STDOUT_FD = 1


class JsonLogSink:
    """Writes log records as JSON lines within a rate, without blocking.

    :param write: writes bytes and returns how many it took; raises
        :class:`BlockingIOError` while the reader does not read.
    """

    def __init__(self, write: Callable[[bytes], int]) -> None:
        self._write = write
        self._waiting = bytearray()
        self._second = 0
        self._lines = 0
        self.dropped = 0

    def __call__(self, message: Any) -> None:
        """Take one record of the logging library.

        :param message: the record.
        """
        record = message.record
        now = record['time'].timestamp()
        if int(now) != self._second:
            self._second = int(now)
            self._lines = 0
        self._lines += 1
        if self._lines > MAX_LINES_PER_S:
            self.dropped += 1
            return
        self._add(_line(record, now, self.dropped))
        self.flush()

    def flush(self) -> None:
        """Write what waits as far as the reader takes it."""
        while self._waiting:
            try:
                taken = self._write(bytes(self._waiting))
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the lines have no other place.
                self._waiting.clear()
                return
            del self._waiting[:taken]

    def _add(self, line: bytes) -> None:
        if len(self._waiting) + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._waiting += line


def configure_json_logs(level: str = 'INFO') -> JsonLogSink:
    """Send all log records to standard output as JSON lines.

    :param level: lowest level that is written.
    """
    os.set_blocking(_STDOUT_FD, False)
    sink = JsonLogSink(lambda text: os.write(_STDOUT_FD, text))
    _root.remove()
    _root.configure(extra={'part': '-'})
    _root.add(sink, level=level, format='{message}', catch=False)
    sys.stdout.flush()
    return sink


def _line(record: Any, now: float, dropped: int) -> bytes:
    fields = {
        'at': round(now, 3),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    if dropped:
        fields['dropped_lines'] = dropped
    if record['exception'] is not None:
        fields['exception'] = repr(record['exception'].value)
        fields['where'] = _where(record['exception'].traceback)
    encoded = msgspec.json.encode(fields, enc_hook=str)
    return b'%b\n' % encoded


def _where(traceback: Any) -> str:
    places = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        name = os.path.basename(code.co_filename)
        places.append(f'{name}:{traceback.tb_lineno}')
        traceback = traceback.tb_next
    return ' '.join(places[-6:])
