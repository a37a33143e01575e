"""Builders of test data."""

import asyncio
import pathlib
import socket

import msgspec

from cuminhoist.httpserver import HttpServer
from cuminhoist.lists import (
    Allowance,
    Allowances,
    Caller,
    Change,
    Plan,
    Plans,
)
from cuminhoist.settings import Settings, Target, Topology, load_struct

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
CLUSTER_KEY = 'test-key'


def free_ports(count: int) -> list[int]:
    """Return TCP ports that nothing listens on."""
    socks = [socket.socket() for _ in range(count)]
    for sock in socks:
        sock.bind(('127.0.0.1', 0))
    ports = [int(sock.getsockname()[1]) for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def example_topology(deployment: str = 'porth-data') -> Topology:
    """Return the topology of an example as it stands in the file."""
    path = EXAMPLES / deployment / 'topology.json'
    return load_struct(path, Topology).unwrap()


def on_free_ports(topology: Topology) -> Topology:
    """Return a topology with all listeners moved to free ports."""
    ports = iter(
        free_ports(2 * len(topology.instances) + len(topology.targets)),
    )
    replace = msgspec.structs.replace
    return replace(
        topology,
        instances=tuple(
            replace(
                instance,
                http_port=next(ports),
                internal_port=next(ports),
            )
            for instance in topology.instances
        ),
        targets=tuple(
            replace(target, port=next(ports)) for target in topology.targets
        ),
    )


def settings_of(
    topology: Topology,
    name: str,
    data_folder: str = '',
) -> Settings:
    """Return the settings of one instance of a topology."""
    return Settings.from_instance(
        topology.instance(name),
        'topology.json',
        CLUSTER_KEY,
        data_folder,
    )


def example_plans(deployment: str = 'porth-data') -> Plans:
    """Return the plans of an example."""
    return load_struct(EXAMPLES / deployment / 'plans.json', Plans).unwrap()


def example_allowances(deployment: str = 'porth-data') -> Allowances:
    """Return the allowances of an example."""
    path = EXAMPLES / deployment / 'allowances.json'
    return load_struct(path, Allowances).unwrap()


def small_plans(weight: float = 1) -> Plans:
    """Return plans with one caller."""
    return Plans(
        plans=(Plan(name='gold', weight=weight),),
        callers=(Caller(name='acme', plan='gold'),),
    )


def small_allowances(rate_per_s: float = 100) -> Allowances:
    """Return allowances with one plan for the catalogue."""
    return Allowances(
        allowances=(
            Allowance(
                plan='gold',
                service='catalogue',
                rate_per_s=rate_per_s,
            ),
        ),
    )


def plans_change(change_id: str, base: int, weight: float = 1) -> Change:
    """Return a change that replaces the plans."""
    return Change(
        change_id=change_id,
        base_version=base,
        plans=small_plans(weight),
    )


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Read the head of an HTTP message from a socket."""
    return await reader.readuntil(b'\r\n\r\n')


class RawServer:
    """A server whose script decides every byte.

    :param script: called for each connection with reader and writer.
    """

    def __init__(self, script) -> None:
        self._script = script
        self._server = None
        self.connections = 0
        self.heads: list[bytes] = []
        self.closed = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()

    async def __aenter__(self) -> 'RawServer':
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._run,
            '127.0.0.1',
            0,
        )
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_exc) -> None:
        """Stop listening."""
        for task in self.tasks:
            task.cancel()
        self._server.close()

    async def head(self, reader: asyncio.StreamReader) -> bytes:
        """Read the head of a request and keep it."""
        head = await read_head(reader)
        self.heads.append(head)
        return head

    async def _run(self, reader, writer) -> None:
        self.connections += 1
        self.tasks.add(asyncio.current_task())
        try:
            await self._script(self, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            self.closed.set()
        except asyncio.CancelledError:
            return
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()


def raw_target(port: int, connections: int = 10, slots: int = 3) -> Target:
    """Return a target that listens on a port of this machine."""
    return Target(
        name='raw',
        service='catalogue',
        domain='de-cymru-a',
        host='127.0.0.1',
        port=port,
        slots=slots,
        connections=connections,
    )


class RunningServer:
    """An HTTP server for an ASGI application on a free port."""

    def __init__(self, app) -> None:
        self.port = free_ports(1)[0]
        self.server = HttpServer.from_app(app, '127.0.0.1', self.port)

    async def __aenter__(self) -> 'RunningServer':
        """Start the server."""
        self.task = asyncio.create_task(self.server.serve())
        while not self.server.started:
            await asyncio.sleep(0.01)
        return self

    async def __aexit__(self, *_exc) -> None:
        """Stop the server."""
        await self.stop()

    async def stop(self) -> None:
        """Stop the server as the daemon does."""
        self.server.begin_stop()
        await self.task

    async def connect(self):
        """Return reader and writer of a new connection."""
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def ask(self, request: bytes) -> bytes:
        """Send bytes on a new connection and read until it is closed."""
        reader, writer = await self.connect()
        writer.write(request)
        answer = await reader.read()
        writer.close()
        return answer
