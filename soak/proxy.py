"""Loopback proxy that delays, drops or resets the connections through it."""

import asyncio
import contextlib
import enum

_CHUNK_BYTES = 16 * 1024
#: Delay of each chunk of data while a link is delayed, in seconds.
DELAY_S = 0.3


class Mode(enum.StrEnum):
    """How a proxy handles data and connections.

    ``pass_on`` forwards data unchanged and ``delay`` forwards it late.
    ``refuse`` resets all connections, open and new. ``one_way`` drops data
    to the server. ``silent`` drops data in both directions on connections
    that are open at the switch, until they close; new connections work.
    """

    pass_on = 'pass_on'
    delay = 'delay'
    refuse = 'refuse'
    one_way = 'one_way'
    silent = 'silent'


class CutForm(enum.StrEnum):
    """What happens to the connections of a client that is cut off.

    New connections are reset in each form. Open ones hang, are reset as well,
    or live on.
    """

    hang = 'hang'
    reset = 'reset'
    live_on = 'live_on'


class _ConnectionPair:
    """A connection of a client and the proxy's connection to the server."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.writers = writers
        self.client_host = writers[0].get_extra_info('peername')[0]
        self.dropping = False

    def abort(self) -> None:
        """Reset the connections to the client and to the server."""
        for writer in self.writers:
            writer.transport.abort()


class Proxy:
    """Forwards the connections of one listener to one server.

    :param host: IP address of the proxy and of the server.
    :param port: port that the proxy listens on.
    :param server_port: port that the server listens on.
    """

    def __init__(self, host: str, port: int, server_port: int) -> None:
        self.mode = Mode.pass_on
        self._host = host
        self.port = port
        self._server_port = server_port
        self._pairs: set[_ConnectionPair] = set()
        self._cut_hosts: set[str] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve,
            self._host,
            self.port,
        )

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections."""
        for pair in tuple(self._pairs):
            pair.abort()

    def switch_mode(self, mode: Mode) -> None:
        """Change how data and connections are handled.

        :param mode: mode to use from now on.
        """
        self.mode = mode
        if mode is Mode.refuse:
            self.reset()
        if mode is Mode.silent:
            for pair in self._pairs:
                pair.dropping = True

    def cut(self, client_host: str, form: CutForm) -> None:
        """Cut a client off from the server.

        :param client_host: IP address of the client.
        :param form: what happens to its open connections.
        """
        self._cut_hosts.add(client_host)
        for pair in tuple(self._pairs):
            if pair.client_host == client_host and form is CutForm.reset:
                pair.abort()
            elif pair.client_host == client_host and form is CutForm.hang:
                pair.dropping = True

    def join(self, client_host: str) -> None:
        """Let a client that was cut off connect again.

        :param client_host: IP address of the client.
        """
        self._cut_hosts.discard(client_host)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        client_host = writer.get_extra_info('peername')[0]
        if self.mode is Mode.refuse or client_host in self._cut_hosts:
            writer.transport.abort()
            return
        try:
            server_streams = await asyncio.open_connection(
                self._host,
                self._server_port,
            )
        except OSError:
            writer.transport.abort()
            return
        pair = _ConnectionPair(writer, server_streams[1])
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._copy(pair, reader, server_streams[1], to_server=True),
                self._copy(pair, server_streams[0], writer, to_server=False),
            )
        except (OSError, asyncio.CancelledError):
            # Cancellation comes only at the end of the soak. It is caught
            # because asyncio's stream callback would log it as an error.
            pair.abort()
        finally:
            self._pairs.discard(pair)
            for pair_writer in pair.writers:
                pair_writer.close()

    async def _copy(
        self,
        pair: _ConnectionPair,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        to_server: bool,
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            if self.mode is Mode.delay:
                await asyncio.sleep(DELAY_S)
            dropped = self.mode is Mode.one_way and to_server
            if dropped or pair.dropping:
                # The stream now has a gap: bytes forwarded after it would
                # be read as part of another message.
                pair.dropping = True
                continue
            writer.write(chunk)
            await writer.drain()
        if not pair.dropping:
            with contextlib.suppress(OSError):
                writer.write_eof()
