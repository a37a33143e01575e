"""Finds the ends of request bodies and removes chunk extensions.

The HTTP parser does not tell where a body ends within received bytes, and it
refuses white space around chunk extensions, which HTTP allows.
"""

import re
from typing import Protocol

from .request_head import Headers

#: Longest chunk header or trailer line that is looked at, in bytes. From a
#: longer one on, the parser gets all bytes as they are.
MAX_LINE_BYTES = 4096
_CRLF = b'\r\n'
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_QUOTED = (
    rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*"'
)
_SPACE = rb'[ \t]*'
_CHUNK_HEADER = re.compile(
    rb'(?P<size>[0-9A-Fa-f]{1,16})(?:%b;%b%b(?:%b=%b(?:%b|%b))?)*'
    % (_SPACE, _SPACE, _TOKEN, _SPACE, _SPACE, _TOKEN, _QUOTED)
)


class BodyFraming(Protocol):
    """The framing of one request body."""

    def cut(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the bytes of the body for the parser, and those after it.

        :param data: received bytes.
        """


def find_framing(headers: Headers) -> BodyFraming:
    """Return the framing of the body of a request.

    :param headers: headers that the parser has accepted, with names in lower
        case.
    """
    fields = dict(headers)
    if b'transfer-encoding' in fields:
        return _Chunks()
    length = fields.get(b'content-length', b'0')
    return _Counted(int(length)) if length.isdigit() else _Unframed()


class _Unframed:
    """A body whose end only the parser knows."""

    def cut(self, data: bytes) -> tuple[bytes, bytes]:
        """Return all bytes.

        :param data: received bytes.
        """
        return data, b''


class _Counted:
    """A body of known length.

    :param left: its length in bytes.
    """

    def __init__(self, left: int) -> None:
        self._left = left

    def cut(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the bytes of the body, and those after it.

        :param data: received bytes.
        """
        piece = data[: self._left]
        self._left -= len(piece)
        return piece, data[len(piece) :]


class _Chunks:
    """A body in chunks; their extensions are removed."""

    def __init__(self) -> None:
        self._held = b''
        # Bytes left of the chunk and its line end.
        self._left = 0
        self._in_trailers = False
        self._ended = False
        self._unreadable = False

    def cut(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the bytes for the parser, and those after the body.

        Bytes of an incomplete line wait for its end.

        :param data: received bytes.
        """
        data = self._held + data
        self._held = b''
        pieces = []
        while data and not self._ended and not self._unreadable:
            piece, data = self._cut_one(data)
            pieces.append(piece)
        if self._unreadable:
            pieces.append(data)
            data = b''
        return b''.join(pieces), data

    def _cut_one(self, data: bytes) -> tuple[bytes, bytes]:
        if self._left:
            piece = data[: self._left]
            self._left -= len(piece)
            return piece, data[len(piece) :]
        line, line_end, rest = data.partition(_CRLF)
        if len(line) > MAX_LINE_BYTES:
            self._unreadable = True
            return data, b''
        if not line_end:
            self._held = data
            return b'', b''
        if self._in_trailers:
            self._ended = not line
            return line + line_end, rest
        header = _CHUNK_HEADER.fullmatch(line)
        if header is None:
            self._unreadable = True
            return line + line_end, rest
        size = int(header['size'], 16)
        self._in_trailers = not size
        self._left = size + len(_CRLF) if size else 0
        return header['size'] + line_end, rest
