"""A loopback proxy that harms the connections through it."""

import asyncio
import contextlib
import enum

_CHUNK_BYTES = 16 * 1024
#: Delay of each piece of data while a link is delayed, in seconds.
DELAY_S = 0.3


class Mode(enum.StrEnum):
    """What a proxy does with data and connections.

    ``refuse`` resets all connections and every new one, ``one_way`` drops
    what goes to the server, ``silent`` drops both ways on the connections
    that are open, for good, while new ones work.
    """

    pass_on = 'pass_on'
    delay = 'delay'
    refuse = 'refuse'
    one_way = 'one_way'
    silent = 'silent'


class _Pair:
    """A connection and its continuation."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.writers = writers
        self.muted = False

    def abort(self) -> None:
        """Reset both connections."""
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Passes connections of one listener on to one server.

    :param host: where to listen, and where the server is.
    :param port: where to listen.
    :param server_port: where the server listens.
    """

    def __init__(self, host: str, port: int, server_port: int) -> None:
        self.mode = Mode.pass_on
        self._host = host
        self.port = port
        self._server_port = server_port
        self._pairs: set[_Pair] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve,
            self._host,
            self.port,
        )

    async def stop(self) -> None:
        """Reset all connections and listen no more."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for pair in tuple(self._pairs):
            pair.abort()

    def switch_mode(self, mode: Mode) -> None:
        """Change what happens to data and connections.

        :param mode: what happens from now on.
        """
        self.mode = mode
        if mode is Mode.refuse:
            self.reset()
        if mode is Mode.silent:
            for pair in self._pairs:
                pair.muted = True

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self.mode is Mode.refuse:
            writer.transport.abort()
            return
        try:
            upstream = await asyncio.open_connection(
                self._host,
                self._server_port,
            )
        except OSError:
            writer.transport.abort()
            return
        pair = _Pair(writer, upstream[1])
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._copy(pair, reader, upstream[1], to_server=True),
                self._copy(pair, upstream[0], writer, to_server=False),
            )
        except (OSError, asyncio.CancelledError):
            # Cancelled only as the soak ends; the stream's own callback
            # would report it.
            pair.abort()
        finally:
            self._pairs.discard(pair)
            for end in pair.writers:
                end.close()

    async def _copy(
        self,
        pair: _Pair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_server: bool,
    ) -> None:
        while content := await reader.read(_CHUNK_BYTES):
            if self.mode is Mode.delay:
                await asyncio.sleep(DELAY_S)
            dropped = self.mode is Mode.one_way and to_server
            if dropped or pair.muted:
                # Later bytes without these would be another message.
                pair.muted = True
                continue
            writer.write(content)
            await writer.drain()
        if not pair.muted:
            with contextlib.suppress(OSError):
                writer.write_eof()
