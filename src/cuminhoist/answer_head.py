"""Checks that the bytes of a head are one sound head of an answer.

A server may break an answer off and go on with another one. The parser takes
the two for one head where the cut is within the text of a line, so that the
status of one answer is read with the headers of the other.
"""

import re

from .exchange import Headers

HEAD_END = b'\r\n\r\n'

_TEXT = rb'[^\x00-\x08\x0a-\x1f\x7f]*+'
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]++"
_HEAD = re.compile(
    rb'HTTP/1\.[01] [1-5][0-9][0-9](?: %b)?+\r\n(?:%b:%b\r\n)*+\r\n'
    % (_TEXT, _TOKEN, _TEXT)
)
_STATUS_LINE = re.compile(rb'HTTP/[0-9]\.[0-9] [0-9]{3}')
_LENGTH = b'content-length'
_CODING = b'transfer-encoding'
_MIN_FINAL_STATUS = 200


def find_head_fault(
    head: bytes, status: int, headers: Headers, echoed: bytes = b''
) -> str:
    """Return why a head must not be believed; empty if it is sound.

    :param head: all bytes of the head, its empty line included.
    :param status: the status that was read from it.
    :param headers: the headers that were read from it, names in lower case.
    :param echoed: text of a caller that a sound answer repeats once.
    """
    if _HEAD.fullmatch(head) is None:
        return 'malformed head'
    if _has_second_status_line(head, echoed):
        return 'two status lines'
    framings = [header for header in headers if header[0] in {_LENGTH, _CODING}]
    if len(framings) > 1:
        return 'two framings'
    if framings and status < _MIN_FINAL_STATUS:
        return 'an interim answer with a body'
    if framings and framings[0][0] == _CODING:
        coding = framings[0][1].strip().lower()
        return '' if coding == b'chunked' else 'unknown transfer coding'
    return ''


def _has_second_status_line(head: bytes, echoed: bytes) -> bool:
    if _STATUS_LINE.search(head, 1) is None:
        return False
    # A caller may choose a text that looks like a status line.
    count = len(_STATUS_LINE.findall(head, 1))
    return count > len(_STATUS_LINE.findall(echoed))
