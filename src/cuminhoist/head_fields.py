"""Keeps the fields of a request head that is arriving."""

from .request_head import Headers

#: Neither the name nor the text of a field may have this byte.
_SEPARATOR = b'\0'


class HeadFields:
    """The fields of one head, in one buffer until the head is complete.

    A pair of objects for each field would take a multiple of the bytes that
    were received, and most of all where fields are short.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    def add(self, name: bytes, text: bytes) -> None:
        """Add a field.

        :param name: its name.
        :param text: its text.
        """
        self._buffer += b'%b\0%b\0' % (name, text)

    def take(self) -> Headers:
        """Return all fields in their order, and forget them."""
        parts = bytes(self._buffer).split(_SEPARATOR)
        self._buffer.clear()
        names = iter(parts[:-1])
        return list(zip(names, names, strict=True))

    def clear(self) -> None:
        """Forget the fields."""
        self._buffer.clear()
