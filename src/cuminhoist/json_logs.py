"""Writes log records as JSON lines to standard output without blocking.

Lines per second and buffered bytes are limited, so that neither load nor a
reader that stops reading can slow the process down. Dropped lines are counted
and the count is written with later lines.
"""

import os
import reprlib
import sys
from collections.abc import Callable
from typing import Any

import msgspec
from loguru import logger as _loguru

#: Limit of lines in one second; further ones are dropped and counted.
MAX_LINES_PER_S = 400
#: Limit of bytes that wait for the reader of standard output; further lines
#: are dropped.
MAX_BUFFERED_BYTES = 256 * 1024

_STDOUT_FD = 1
#: Raised for numbers over 64 bits, texts with surrogates and deep nesting, of
#: what others have sent.
_ENCODING_ERRORS = (ValueError, OverflowError, RecursionError)


class JsonLogSink:
    """Sink of the logging library that writes JSON lines without blocking.

    :param write: writes bytes and returns how many were written; raises
        :class:`BlockingIOError` while the reader does not read.
    """

    def __init__(self, write: Callable[[bytes], int]) -> None:
        self._write = write
        self._buffered = bytearray()
        self._current_second = 0
        self._lines_in_second = 0
        self.dropped = 0

    def __call__(self, message: Any) -> None:
        """Write or drop one record.

        :param message: message of the logging library with its record.
        """
        record = message.record
        now = record['time'].timestamp()
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > MAX_LINES_PER_S:
            self.dropped += 1
            return
        self._buffer_line(_encode_line(record, now, self.dropped))
        self.flush()

    def flush(self) -> None:
        """Write buffered bytes until none is left or a write takes none."""
        while self._buffered:
            try:
                written = self._write(bytes(self._buffered))
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, and the lines have no other
                # destination.
                self._buffered.clear()
                return
            if not written:
                return
            del self._buffered[:written]

    def _buffer_line(self, line: bytes) -> None:
        if len(self._buffered) + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return
        self._buffered += line


def configure_json_logs(level: str = 'INFO') -> JsonLogSink:
    """Send all log records to standard output as JSON lines.

    :param level: lowest level that is written.
    """
    os.set_blocking(_STDOUT_FD, False)
    sink = JsonLogSink(lambda line: os.write(_STDOUT_FD, line))
    _loguru.remove()
    _loguru.configure(extra={'part': '-'})
    _loguru.add(sink, level=level, format='{message}', catch=False)
    sys.stdout.flush()
    return sink


def _encode_line(record: Any, now: float, dropped: int) -> bytes:
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
        fields['where'] = _format_traceback(record['exception'].traceback)
    return b'%b\n' % _encode_fields(fields)


def _encode_fields(fields: dict[str, Any]) -> bytes:
    try:
        return msgspec.json.encode(fields, enc_hook=str)
    except _ENCODING_ERRORS:
        readable = {name: _readable(field) for name, field in fields.items()}
        return msgspec.json.encode(readable, enc_hook=str)


def _readable(field: object) -> object:
    """Return a field, or its shortened text if it has no encoding."""
    try:
        msgspec.json.encode(field, enc_hook=str)
    except _ENCODING_ERRORS:
        return reprlib.repr(field)
    return field


def _format_traceback(traceback: Any) -> str:
    frames = []
    while traceback is not None:
        code = traceback.tb_frame.f_code
        name = os.path.basename(code.co_filename)
        frames.append(f'{name}:{traceback.tb_lineno}')
        traceback = traceback.tb_next
    return ' '.join(frames[-6:])
