"""Reads methods of requests that the HTTP parser does not know.

The parser has a fixed list of methods, but HTTP allows any token. Such a
method is replaced before the parser sees it and restored after it.
"""

import re

#: A method of the parser whose requests are framed like those of any other.
_STAND_IN = b'POST'
#: Methods that the parser reads itself; some of them change its framing.
_PARSED_METHODS = frozenset(
    (
        b'CONNECT',
        b'DELETE',
        b'GET',
        b'HEAD',
        b'OPTIONS',
        b'PATCH',
        b'POST',
        b'PRI',
        b'PUT',
        b'TRACE',
    )
)
#: Longest method that is kept, in bytes; the parser refuses longer ones.
MAX_METHOD_BYTES = 64
_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]{1,64}")


class MethodReader:
    """Reads the methods of the requests of one connection."""

    def __init__(self) -> None:
        #: Method that was replaced in the current request; empty if none was.
        self.replaced = b''
        #: Whether bytes of a request line wait for the end of the method.
        self.holds_bytes = False
        self._begun = False
        self._held = b''

    def begin(self) -> None:
        """Note that a request has begun, so that its method is not read."""
        self._begun = True

    def end_message(self) -> None:
        """Note that the next bytes belong to another request."""
        self._begun = False
        self.replaced = b''

    def read(self, piece: bytes) -> bytes:
        """Return the bytes for the parser.

        :param piece: bytes of one request at most.
        :returns: the bytes with another method, or none while the method has
            not arrived completely.
        """
        if self._begun:
            return piece
        line = self._held + piece
        start = len(line) - len(line.lstrip(b'\r\n'))
        if start == len(line):
            return piece
        method, space, rest = line[start:].partition(b' ')
        incomplete = not space and len(method) < MAX_METHOD_BYTES
        proper = _TOKEN.fullmatch(method) is not None
        self.holds_bytes = proper and incomplete
        self._held = line if self.holds_bytes else b''
        if self.holds_bytes:
            return b''
        self._begun = True
        # A server may ignore the case of a method, so that the parser refuses
        # its own methods in another case.
        if not proper or not space or method.upper() in _PARSED_METHODS:
            return line
        self.replaced = method
        return line[:start] + _STAND_IN + space + rest
