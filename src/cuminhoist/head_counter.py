"""Counts the bytes of request heads, which the HTTP parser does not tell."""

_HEAD_END = b'\r\n\r\n'


class HeadCounter:
    """Cuts received bytes at the end of a head and counts those before it.

    The head of a pipelined request that begins in one piece with the end of
    the body before it is counted from the next piece on.
    """

    def __init__(self) -> None:
        #: Whether a head is expected or arriving.
        self.expected = True
        #: Whether a head has begun to arrive.
        self.begun = False
        #: Bytes of the head so far.
        self.size = 0
        #: Last bytes of the piece before; the empty line may begin there.
        self._tail = b''

    def cut(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the bytes up to the end of the head, and the others.

        :param data: received bytes.
        """
        if not self.expected:
            self._tail = data[1 - len(_HEAD_END) :]
            return data, b''
        window = self._tail + data
        end = window.find(_HEAD_END)
        size = len(data)
        if end >= 0:
            size = end + len(_HEAD_END) - len(self._tail)
        piece = data[:size]
        # Empty lines before a request are no part of its head.
        self.size += len(piece if self.begun else piece.lstrip(b'\r\n'))
        self._tail = window[1 - len(_HEAD_END) :]
        return piece, data[size:]

    def begin(self) -> None:
        """Note that a head begins in the piece that is being parsed."""
        self.expected = True
        self.begun = True

    def end_head(self) -> None:
        """Note that the head is complete and a body may follow."""
        self.expected = False
        self.begun = False
        self.reset()

    def end_message(self) -> None:
        """Note that the next bytes belong to another head."""
        self.expected = True

    def reset(self) -> None:
        """Forget the bytes so far: no head has begun."""
        self.size = 0
        self._tail = b''
