"""Runs one entry or control instance as a daemon on the platform."""

import asyncio
import contextlib
import functools
import importlib
import os
import pathlib
import signal
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from returns.result import Result, Success

from ..caller_memory import CallerMemory, MemoryLimits
from ..fleet.background import BackgroundTasks
from ..fleet.control_instance import ControlInstance
from ..fleet.entry_instance import EntryInstance
from ..fleet.instance_config import Address, InstanceConfig
from ..fleet.target_feed import ListReading, TargetSource
from ..gateway.relay import relay_app
from ..gateway.stop_window import StopWindow
from ..httpserver import HttpServer
from ..json_logs import configure_json_logs
from ..listener_bounds import ListenerBounds
from ..listener_limits import UNCONFIGURED_LIMITS
from ..logging_setup import logger
from .apps import (
    lookup_app,
    metrics_app,
    operators_app,
    readiness_app,
)
from .boot import load_settings, settings_path
from .configuration import check_order, decode_routes
from .requests import PlatformWire

if TYPE_CHECKING:
    from .target_list import TargetListClient

#: Interval at which the settings file is checked for changes, in seconds; it
#: may change without a SIGHUP.
SETTINGS_POLL_S = 1.0
#: Fraction of the time between SIGTERM and SIGKILL in which the process
#: listens and keeps idle connections although nothing runs, because callers
#: keep look-up answers for some seconds.
LISTENING_FRACTION = 0.55
#: Interval of tries to write the identity of a new voter to disk, in seconds;
#: without an identity the instance cannot vote.
DISK_RETRY_S = 0.25
_DRAIN_POLL_S = 0.05

_log = logger('daemon')


class PlatformTargets(TargetSource):
    """Reads the platform's list of targets.

    Most instances never read it, and the HTTP client takes a quarter of the
    memory of a process. It is therefore imported for the first read.

    :param address: address that serves the list.
    """

    def __init__(self, address: Address) -> None:
        #: Address that the next read uses.
        self.address = address
        self._client: 'TargetListClient | None' = None

    async def read(self) -> Result[ListReading, str]:
        """Return the list, or why it cannot be read."""
        if self._client is not None and self._client.address != self.address:
            await self._client.close()
            self._client = None
        if self._client is None:
            module = await asyncio.to_thread(
                importlib.import_module, '.target_list', __package__
            )
            self._client = module.TargetListClient(self.address)
        return await self._client.read()


class Daemon:
    """One process, with an entry or a control instance.

    :param cfg: configuration of the instance.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        cfg: InstanceConfig,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._cfg = cfg
        self._now = now
        self._source = PlatformTargets(cfg.target_list_address)
        self._memory = CallerMemory(MemoryLimits.from_memory(cfg.memory_bytes))
        self._descriptors = cfg.descriptor_limits
        self._bounds = ListenerBounds.from_memory(
            cfg.memory_bytes,
            max(self._descriptors.requests, self._descriptors.operators),
        )
        self._servers: list[HttpServer] = []
        self._background = BackgroundTasks()
        self._stopping = asyncio.Event()
        self._reload_requested = asyncio.Event()
        #: 0, as the file may have changed since it was read at the start.
        self._settings_modified_ns = 0

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        if self._cfg.is_control:
            await self._run_control(self._source)
        else:
            await self._run_entry(self._source)

    async def _run_control(self, source: TargetSource) -> None:
        cfg = self._cfg
        control = await self._create_control_instance(source)
        if control is None:
            return
        await control.start()
        limits = self._descriptors
        self._start_server(
            cfg.operator_address,
            operators_app(control.orders, cfg.memory_bytes),
            limits.operators,
        )
        self._start_server(
            cfg.lookup_address,
            lookup_app(control.lookup, cfg.limits.lookup_ttl_s),
            limits.operators,
        )
        self._start_server(
            cfg.metrics_address,
            metrics_app(control.metrics.render),
            limits.probes,
        )
        control.supervise(
            'settings',
            functools.partial(
                self._watch_settings, control.links.replace_seeds
            ),
        )
        _log.bind(instance=cfg.name, life=control.incarnation).info('started')
        await self._stopping.wait()
        _log.bind(instance=cfg.name).info('stopping')
        await control.stop()
        _log.bind(instance=cfg.name).info('stopped')

    async def _create_control_instance(
        self, source: TargetSource
    ) -> ControlInstance | None:
        """Return the control instance once its identity is on disk.

        Returns None if the process is stopped before.
        """
        cfg = self._cfg
        while not self._stopping.is_set():
            try:
                return ControlInstance(
                    cfg, source, decode_routes, self._now, check_order
                )
            except OSError as exc:
                fault = str(exc)
                _log.bind(instance=cfg.name, fault=fault).warning(
                    'cannot write the identity to disk',
                )
            await asyncio.sleep(DISK_RETRY_S)
        return None

    async def _run_entry(self, source: TargetSource) -> None:
        cfg = self._cfg
        entry = EntryInstance(
            cfg,
            source,
            decode_routes,
            PlatformWire(),
            self._now,
        )
        limits = self._descriptors
        server = self._start_request_server(
            cfg.request_address, entry.request_proxy, limits.requests
        )
        self._start_request_server(
            cfg.peer_address, relay_app(entry.request_proxy), limits.relays
        )
        if server is not None:
            self._connect_listener(entry, server)
        self._start_server(
            cfg.readiness_address,
            readiness_app(lambda: entry.ready),
            limits.probes,
        )
        self._start_server(
            cfg.lookup_address,
            lookup_app(entry.lookup, cfg.limits.lookup_ttl_s),
            limits.lookups,
        )
        self._start_server(
            cfg.metrics_address,
            metrics_app(entry.metrics.render),
            limits.probes,
        )
        await entry.start()
        entry.supervise(
            'settings',
            functools.partial(self._watch_settings, entry.links.replace_seeds),
        )
        _log.bind(instance=cfg.name).info('started')
        await self._stopping.wait()
        _log.bind(instance=cfg.name).info('stopping')
        entry.start_leaving()
        if server is not None:
            await self._drain(entry, server)
        await entry.stop()
        _log.bind(instance=cfg.name).info('stopped')

    def _connect_listener(
        self, entry: EntryInstance, server: HttpServer
    ) -> None:
        """Have the listener get its limits and report what it refuses."""
        entry.request_proxy.routing_state.apply_limits = server.apply_limits
        entry.metrics.watch_memory(self._memory)
        server.report_refusals(entry.metrics.count_refusal)

    async def _drain(self, entry: EntryInstance, server: HttpServer) -> None:
        """Serve what can be answered before the process is killed.

        :param entry: the entry instance.
        :param server: its listener for requests.
        """
        grace_s = self._cfg.limits.stop_grace_s
        proxy = entry.request_proxy
        began_at = self._now()
        window = StopWindow.from_grace(grace_s, began_at)
        listens_until = began_at + grace_s * LISTENING_FRACTION
        server.start_drain()
        proxy.stop_limits.begin(window)
        while self._now() < window.exits_at:
            if self._now() >= window.answers_until:
                proxy.routing_state.refuses_requests = True
            if self._now() >= listens_until:
                # Callers keep connections for longer than the process lives.
                server.close_idle()
                if _is_idle(entry, server):
                    break
            await asyncio.sleep(_DRAIN_POLL_S)
        proxy.routing_state.refuses_requests = True
        server.close_idle()
        # A connection that was accepted just before is not known yet.
        while self._now() < window.exits_at:
            await asyncio.sleep(_DRAIN_POLL_S)
            if _is_idle(entry, server):
                break
            server.close_idle()

    def _start_request_server(
        self, address: Address | None, app: Any, max_connections: float
    ) -> HttpServer | None:
        server = self._start_server(
            address, app, max_connections, overlaps_requests=True
        )
        if server is not None:
            server.apply_limits(UNCONFIGURED_LIMITS)
        return server

    def _start_server(
        self,
        address: Address | None,
        app: Any,
        max_connections: float,
        *,
        overlaps_requests: bool = False,
    ) -> HttpServer | None:
        if address is None:
            return None
        server = HttpServer.from_app(
            app,
            address.host,
            address.port,
            overlaps_requests=overlaps_requests,
            memory=self._memory,
            bounds=self._bounds.with_connections(max_connections),
        )
        self._servers.append(server)
        self._background.spawn(server.serve())
        return server

    async def _watch_settings(
        self,
        replace_seeds: Callable[[tuple[Address, ...]], None],
    ) -> None:
        path = settings_path()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_POLL_S):
                    await self._reload_requested.wait()
            modified_ns = _modified_ns(path)
            is_same = modified_ns in {0, self._settings_modified_ns}
            if is_same and not self._reload_requested.is_set():
                continue
            self._settings_modified_ns = modified_ns
            self._reload_requested.clear()
            loaded = load_settings(path)
            if isinstance(loaded, Success):
                self._apply_settings(loaded.unwrap(), replace_seeds)
            else:
                fault = str(loaded.failure())
                _log.bind(fault=fault).warning('cannot read the settings file')

    def _apply_settings(
        self,
        cfg: InstanceConfig,
        replace_seeds: Callable[[tuple[Address, ...]], None],
    ) -> None:
        """Use what changed settings name; other fields stay as they were."""
        replace_seeds(cfg.seeds)
        self._source.address = cfg.target_list_address
        _log.bind(
            seeds=[str(seed) for seed in cfg.seeds],
            target_list=str(cfg.target_list_address),
        ).info('settings reloaded')


def _is_idle(entry: EntryInstance, server: HttpServer) -> bool:
    return not (entry.request_proxy.running_requests or server.has_connections)


def _modified_ns(path: pathlib.Path) -> int:
    """Return when a file was modified, in ns; 0 if it cannot be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


async def _run(cfg: InstanceConfig) -> None:
    await Daemon(cfg).run()


def main() -> None:
    """Run the daemon with the settings file of the platform."""
    loaded = load_settings(settings_path())
    if not isinstance(loaded, Success):
        sys.exit(str(loaded.failure()))
    configure_json_logs()
    asyncio.run(_run(loaded.unwrap()))
    # The interpreter's own end frees what the kernel frees anyway, and may take
    # longer than what is left of the grace period.
    os._exit(0)  # noqa: WPS437
