"""Reads the round-trip time of a caller's connection from the kernel."""

import asyncio
import contextlib
import socket
import struct

#: Offset of the smoothed round-trip time in ``struct tcp_info``, a 32-bit
#: number of microseconds, and the bytes to read up to its end.
_RTT_OFFSET = 68
_INFO_BYTES = 72
_US_PER_S = 1_000_000


def round_trip_s(transport: asyncio.BaseTransport) -> float:
    """Return the smoothed round-trip time of a connection, in seconds.

    Returns 0 where the system does not tell it.

    :param transport: the transport of the connection.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return 0
    with contextlib.suppress(OSError, struct.error):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _INFO_BYTES)
        rtt_us = struct.unpack_from('=I', info, _RTT_OFFSET)[0]
        return float(rtt_us) / _US_PER_S
    return 0
