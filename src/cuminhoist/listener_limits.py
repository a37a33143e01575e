"""Limits of the listener on request heads and idle connections."""

import math

import msgspec


class ListenerLimits(msgspec.Struct, frozen=True):
    """How large and how slow request heads may be, and idle connections.

    :param max_head_bytes: longest head of a request, in bytes, from the
        request line to the empty line.
    :param head_timeout_s: longest time from the first to the last byte of a
        head, in seconds.
    :param idle_timeout_s: time for which a connection without a request
        stays open, in seconds.
    :param max_unanswered: requests of one connection that are read before
        the first of them is answered; each may hold a body and the start of
        an answer in memory.
    """

    max_head_bytes: int = 32 * 1024
    head_timeout_s: float = math.inf
    idle_timeout_s: float = 30
    max_unanswered: int = 16


#: Limits while no configuration tells them. A caller gets a refusal that it
#: may retry, so that only memory is protected.
UNCONFIGURED_LIMITS = ListenerLimits(
    max_head_bytes=1024 * 1024, idle_timeout_s=math.inf
)
