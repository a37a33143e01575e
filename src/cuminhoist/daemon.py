"""The daemon: builds the parts of one instance and runs them."""

import asyncio
import pathlib
import secrets
import signal
import sys

import fire
from litestar import Litestar
from returns.result import Failure

from .api import lookup_handler, services_handler
from .codec import Codec
from .clock import SystemClock
from .control_api import ControlParts, control_handlers
from .delivery import Delivery, DeliveryOptions
from .entry import EntryService
from .forwarding import HttpxTargetClient
from .httpserver import HttpServer
from .inforce import ConfigInForce
from .locallog import LocalLog
from .logs import configure_logs, logger
from .lookup import Lookup
from .settings import Role, Settings, Topology, load_struct
from .transport import PynngTransport

_log = logger('daemon')


class Node:
    """All parts of one instance.

    :param cfg: settings of the instance.
    :param topology: the deployment.
    """

    def __init__(self, cfg: Settings, topology: Topology) -> None:
        self._cfg = cfg
        self._topology = topology
        own = topology.instance(cfg.name)
        self.in_force = ConfigInForce()
        self._transport = PynngTransport(
            Codec(cfg.cluster_key, cfg.name),
            own,
            topology.instances,
        )
        self._client = HttpxTargetClient()
        is_control = Role.control in cfg.roles
        self._log = LocalLog(cfg.name) if is_control else None
        self._delivery = Delivery(
            cfg.name,
            topology,
            self.in_force,
            self._transport,
            SystemClock(),
            self._log,
            DeliveryOptions.from_topology(topology),
        )
        self._server = HttpServer.from_app(
            self._app(),
            cfg.host,
            cfg.http_port,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all listeners and tasks."""
        await self._transport.start()
        self._tasks.append(asyncio.create_task(self._delivery.run()))
        self._tasks.append(asyncio.create_task(self._server.serve()))
        while not self._server.started:
            await asyncio.sleep(0.01)
        _log.info('Serving on port {}.', self._cfg.http_port)

    async def stop(self) -> None:
        """Finish running requests and stop."""
        self._server.should_exit = True
        server = self._tasks.pop()
        for task in self._tasks:
            task.cancel()
        await server
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._client.close()
        await self._transport.stop()

    def _app(self) -> Litestar:
        entry = EntryService(
            self._topology,
            self.in_force,
            self._client,
            self._cfg.domain,
        )
        handlers = [
            services_handler(entry),
            lookup_handler(Lookup(self._topology, self._cfg.domain)),
            *control_handlers(
                ControlParts(
                    cfg=self._cfg,
                    topology=self._topology,
                    incarnation=secrets.token_hex(8),
                    in_force=self.in_force,
                    delivery=self._delivery,
                    transport=self._transport,
                    log=self._log,
                ),
            ),
        ]
        return Litestar(handlers, openapi_config=None)


async def run_until_signal(node: Node) -> None:
    """Run an instance until SIGTERM or SIGINT.

    :param node: the instance.
    """
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    await node.start()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopping.set)
    await stopping.wait()
    _log.info('Stopping.')
    await node.stop()


def serve(settings: str) -> None:
    """Run the daemon.

    :param settings: path of the settings file.
    """
    path = pathlib.Path(settings)
    loaded = load_struct(path, Settings)
    if isinstance(loaded, Failure):
        sys.exit(str(loaded.failure()))
    cfg = loaded.unwrap()
    topology = load_struct(path.parent / cfg.topology, Topology)
    if isinstance(topology, Failure):
        sys.exit(str(topology.failure()))
    configure_logs(cfg.logs)
    asyncio.run(run_until_signal(Node(cfg, topology.unwrap())))


def main() -> None:
    """Run the command line of the daemon."""
    fire.Fire(serve)
