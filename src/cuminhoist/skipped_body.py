"""Reads the body of a request that the parser takes for another protocol."""

from typing import Protocol


class BodyCallbacks(Protocol):
    """The callbacks of a connection's parser that concern a body."""

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on.

        :param body: the bytes.
        """

    def on_message_complete(self) -> None:
        """Note the end of the body."""


class BodyReceiver:
    """Passes the body of one request on, but no head and nothing after it."""

    def __init__(self, conn: BodyCallbacks) -> None:
        self._conn = conn
        self._complete = False

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on (callback of the parser).

        :param body: the bytes.
        """
        if not self._complete:
            self._conn.on_body(body)

    def on_message_complete(self) -> None:
        """Note the end of the body (callback of the parser)."""
        if not self._complete:
            self._complete = True
            self._conn.on_message_complete()
