"""The daemon on the platform's machines."""

import asyncio
import contextlib
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

from returns.result import Result, Success

from ..fleet.background import BackgroundTasks
from ..fleet.control_instance import ControlInstance
from ..fleet.entry_instance import EntryInstance
from ..fleet.instance_config import Address, InstanceConfig
from ..fleet.target_feed import TargetSource
from ..httpserver import HttpServer
from ..json_logs import configure_json_logs
from ..logging_setup import logger
from ..steering.targets import TargetEntry
from .apps import (
    lookup_app,
    metrics_app,
    operators_app,
    readiness_app,
)
from .boot import load_site, settings_path
from .configuration import decode_routes
from .requests import PlatformWire
from .target_list import TargetListClient

#: How often the settings file is looked at, in seconds; it may change
#: without a signal.
SETTINGS_POLL_S = 1.0
#: Part of the time between SIGTERM and SIGKILL in which requests are still
#: taken; callers keep look-up answers for some seconds.
TAKING_PART = 0.55
#: Part of it after which the process ends whatever still runs.
ENDING_PART = 0.93
#: A disk that refuses the identity of a new voter is tried again after this
#: time, in seconds; without an identity the instance cannot vote.
DISK_RETRY_S = 0.25
_POLL_S = 0.05

_log = logger('daemon')


class PlatformTargets(TargetSource):
    """Reads the platform's list of targets.

    :param address: where the list is.
    """

    def __init__(self, address: Address) -> None:
        self._client = TargetListClient(address)

    async def read(self) -> Result[tuple[TargetEntry, ...], str]:
        """Return all targets, or why they cannot be read."""
        return await self._client.read()


class Daemon:
    """One process.

    :param site: what it knows of itself.
    """

    def __init__(self, site: InstanceConfig) -> None:
        self._site = site
        self._servers: list[HttpServer] = []
        self._background = BackgroundTasks()
        self._stopping = asyncio.Event()
        self._reloading = asyncio.Event()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT."""
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reloading.set)
        source = PlatformTargets(self._site.target_list_address)
        if self._site.is_control:
            await self._run_control(source)
        else:
            await self._run_entry(source)

    async def _run_control(self, source: TargetSource) -> None:
        site = self._site
        role = await self._open_control(source)
        if role is None:
            return
        await role.start()
        self._listen(site.operator_address, operators_app(role))
        ttl_s = site.bounds.lookup_ttl_s
        self._listen(site.lookup_address, lookup_app(role.lookup, ttl_s))
        self._listen(site.metrics_address, metrics_app(role.recorder.render))
        self._background.spawn(self._watch_settings(role.links.replace_seeds))
        _log.bind(instance=site.name, life=role.incarnation).info('started')
        await self._stopping.wait()
        _log.bind(instance=site.name).info('stopping')
        await role.stop()
        _log.bind(instance=site.name).info('stopped')

    async def _open_control(
        self, source: TargetSource
    ) -> ControlInstance | None:
        """Return the control instance once the disk takes its identity."""
        site = self._site
        while not self._stopping.is_set():
            try:
                return ControlInstance(
                    site, source, decode_routes, time.monotonic
                )
            except OSError as exc:
                fault = str(exc)
                _log.bind(instance=site.name, fault=fault).warning(
                    'disk refused the first write',
                )
            await asyncio.sleep(DISK_RETRY_S)
        return None

    async def _run_entry(self, source: TargetSource) -> None:
        site = self._site
        entry = EntryInstance(
            site,
            source,
            decode_routes,
            PlatformWire(),
            time.monotonic,
        )
        callers = self._listen(site.request_address, entry.passages)
        self._listen(site.readiness_address, readiness_app(lambda: entry.ready))
        ttl_s = site.bounds.lookup_ttl_s
        self._listen(site.lookup_address, lookup_app(entry.lookup, ttl_s))
        self._listen(site.metrics_address, metrics_app(entry.recorder.render))
        await entry.start()
        self._background.spawn(self._watch_settings(entry.links.replace_seeds))
        _log.bind(instance=site.name).info('started')
        await self._stopping.wait()
        _log.bind(instance=site.name).info('stopping')
        entry.start_leaving()
        if callers is not None:
            await self._drain(entry, callers)
        await entry.stop()
        _log.bind(instance=site.name).info('stopped')

    async def _drain(self, entry: EntryInstance, callers: HttpServer) -> None:
        loop = asyncio.get_running_loop()
        grace_s = self._site.bounds.stop_grace_s
        began = loop.time()
        callers.start_drain()
        while loop.time() - began < grace_s * TAKING_PART:
            await asyncio.sleep(_POLL_S)
        entry.passages.routing_state.refuses_requests = True
        while loop.time() - began < grace_s * ENDING_PART:
            if (
                not entry.passages.running_requests
                and not callers.has_connections
            ):
                return
            await asyncio.sleep(_POLL_S)

    def _listen(self, address: Address | None, app: Any) -> HttpServer | None:
        if address is None:
            return None
        server = HttpServer.from_app(app, address.host, address.port)
        self._servers.append(server)
        self._background.spawn(server.serve())
        return server

    async def _watch_settings(
        self,
        use_seeds: Callable[[tuple[Address, ...]], None],
    ) -> None:
        path = settings_path()
        seen = path.stat().st_mtime_ns
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SETTINGS_POLL_S):
                    await self._reloading.wait()
            with contextlib.suppress(OSError):
                changed_at = path.stat().st_mtime_ns
                if changed_at == seen and not self._reloading.is_set():
                    continue
                seen = changed_at
            self._reloading.clear()
            loaded = load_site(path)
            if isinstance(loaded, Success):
                use_seeds(loaded.unwrap().seeds)
                seeds = [str(seed) for seed in loaded.unwrap().seeds]
                _log.bind(seeds=seeds).info('settings reloaded')
            else:
                fault = str(loaded.failure())
                _log.bind(fault=fault).warning('settings not readable')


async def _run(site: InstanceConfig) -> None:
    await Daemon(site).run()


def main() -> None:
    """Run the daemon with the settings that the platform has written."""
    loaded = load_site(settings_path())
    if not isinstance(loaded, Success):
        sys.exit(str(loaded.failure()))
    configure_json_logs()
    asyncio.run(_run(loaded.unwrap()))
