"""What one listener may use of its process."""

import math
from typing import Self

import msgspec

from .chunk_budget import ChunkBudget
from .parsing_pace import callers_budget

#: Received bytes that the kernel keeps for one connection, unless the memory
#: of the process is limited; otherwise it keeps megabytes for a fast sender.
RECEIVE_BUFFER_BYTES = 64 * 1024
MIN_RECEIVE_BUFFER_BYTES = 16 * 1024
#: Fraction of the memory limit for what the kernel keeps unread, if every
#: connection that may be open sends more than is read.
UNREAD_FRACTION = 1 / 32


class ListenerBounds(msgspec.Struct, frozen=True):
    """Bounds that do not depend on a configuration.

    :param parsing_budget: share of the event loop for requests in many small
        pieces, of all listeners of the process; None for one of its own.
    :param receive_buffer_bytes: bytes that the kernel keeps for one connection
        until they are read.
    :param max_connections: most connections that are open at a time.
    """

    parsing_budget: ChunkBudget | None = None
    receive_buffer_bytes: int = RECEIVE_BUFFER_BYTES
    max_connections: float = math.inf

    @classmethod
    def from_memory(cls, memory_bytes: float, connections: float) -> Self:
        """Return what the listeners of a process have in common.

        :param memory_bytes: memory limit of the process; 0 if there is none.
        :param connections: most connections that it may have open.
        """
        buffer_bytes = RECEIVE_BUFFER_BYTES
        if memory_bytes:
            share = round(memory_bytes * UNREAD_FRACTION / connections)
            buffer_bytes = min(
                max(share, MIN_RECEIVE_BUFFER_BYTES), RECEIVE_BUFFER_BYTES
            )
        return cls(callers_budget(), buffer_bytes)

    def with_connections(self, max_connections: float) -> Self:
        """Return the bounds of one listener.

        :param max_connections: most connections that it may have open.
        """
        return msgspec.structs.replace(self, max_connections=max_connections)
