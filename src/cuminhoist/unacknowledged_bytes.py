"""Reads from the kernel how many written bytes a peer has not taken."""

import asyncio
import contextlib
import fcntl
import struct
import termios

_NONE = bytes(struct.calcsize('=i'))


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int:
    """Return the bytes that the kernel holds until the peer has them.

    Returns 0 where the system does not tell it.

    :param transport: the transport of the connection.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return 0
    # A closed socket has no valid number.
    with contextlib.suppress(OSError, ValueError):
        held = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, _NONE)
        return int(struct.unpack('=i', held)[0])
    return 0
