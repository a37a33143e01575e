"""Tests of the measured round-trip time to a caller.

They guard against objectives that assume the distance of another deployment,
so that answers are planned to arrive a little too late.
"""

import asyncio
import struct

from cuminhoist.caller_round_trip import round_trip_s


class FakeSocket:
    """Answers the query for the connection's state."""

    def __init__(self, info: bytes | OSError) -> None:
        self._info = info

    def getsockopt(self, _level, _option, _size):
        if isinstance(self._info, OSError):
            raise self._info
        return self._info


class FakeTransport(asyncio.BaseTransport):
    """A transport with a given socket."""

    def __init__(self, sock: FakeSocket | None) -> None:
        super().__init__({'socket': sock})


def _round_trip_s(info):
    return round_trip_s(FakeTransport(FakeSocket(info)))


def test_round_trip_is_read_in_microseconds():
    """Guards against a wrong field or unit of the kernel's answer."""
    for rtt_us in (6_000, 16_000):
        info = bytes(68) + struct.pack('=I', rtt_us)
        assert _round_trip_s(info) == rtt_us / 1e6


def test_unknown_round_trip_is_zero():
    """Guards against a failed request where the kernel does not tell."""
    assert _round_trip_s(OSError(92, 'not available')) == 0
    assert _round_trip_s(b'') == 0
    assert round_trip_s(FakeTransport(None)) == 0


async def test_round_trip_of_a_loopback_connection():
    """Guards against an offset that this system does not have."""
    measured = asyncio.get_running_loop().create_future()

    async def accept(_reader, writer):
        measured.set_result(round_trip_s(writer.transport))
        writer.close()

    server = await asyncio.start_server(accept, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection('127.0.0.1', port)
    assert 0 <= await measured < 1
    writer.close()
    server.close()
