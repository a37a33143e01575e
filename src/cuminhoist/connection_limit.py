"""Bounds the open connections of one listener.

At the bound, connections are closed so that others can connect: those without
a request first, those with one request never. A new one that gets no place is
closed unread.
"""

import abc
import enum
from collections.abc import Collection

import msgspec

#: Fraction of the bound that is freed at once, so that not each new connection
#: looks at all others.
FREED_FRACTION = 1 / 16


class Occupation(enum.IntEnum):
    """What a connection is open for, those that are closed first before."""

    #: Nothing has been read from it yet.
    unused = 0
    #: A request has been answered, and the next one may come.
    idle = 1
    #: A head or a body is arriving.
    arriving = 2
    #: Requests wait behind one without an answer.
    ahead = 3
    #: A whole request waits for its answer.
    serving = 4


class Place(msgspec.Struct, frozen=True, order=True):
    """Why and since when a connection is open.

    :param occupation: what it is open for.
    :param since: loop time of the last bytes, or of its begin, in seconds.
    """

    occupation: Occupation
    since: float


class LimitedConnection(abc.ABC):
    """A connection that counts for a limit."""

    @property
    @abc.abstractmethod
    def place(self) -> Place:
        """Why and since when it is open."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close it at once."""


def make_room(
    new: LimitedConnection,
    open_connections: Collection[LimitedConnection],
    most: float,
) -> int:
    """Close connections if there are too many; return how many.

    :param new: the connection that was opened last.
    :param open_connections: all connections, with the new one.
    :param most: most connections that may be open.
    """
    if len(open_connections) <= most:
        return 0
    closable = sorted(
        (
            conn
            for conn in open_connections
            if conn is not new
            and conn.place.occupation is not Occupation.serving
        ),
        key=lambda conn: conn.place,
    )
    excess = len(open_connections) - most
    surplus = closable[: round(excess + most * FREED_FRACTION)] or [new]
    for conn in surplus:
        conn.abort()
    return len(surplus)
