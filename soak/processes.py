"""Runs the real programs as processes and injects faults into them."""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import shutil
import signal
import sys
import time
from typing import Any

from .evidence import Evidence
from .proxy import Proxy

ROOT = pathlib.Path(__file__).resolve().parents[1]
#: Time that a process has to end after SIGTERM before SIGKILL, in seconds.
GRACE_S = 3.0
#: Time from the end of a process until its restart, in seconds.
RESTART_S = 0.4

OPERATORS_PORT = 8544
LOOKUPS_PORT = 8546
CALLERS_PORT = 8548
READINESS_PORT = 8542
PEERS_PORT = 7540
PEERS_LISTEN_PORT = 7541
METRICS_PORT = 7555


class Instance:
    """One process with its settings, its disk and its log.

    :param name: name of the instance; starts with ``control`` for control
        instances.
    :param domain: failure domain of the instance.
    :param host: IP address that the process listens on.
    :param folder: parent of the folder for settings, log and disk.
    :param settings: settings that all instances of a role share.
    :param evidence: gets a record of each unexpected exit.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        host: str,
        folder: pathlib.Path,
        settings: dict[str, Any],
        evidence: Evidence,
    ) -> None:
        self.name = name
        self.domain = domain
        self.host = host
        self.is_control = name.startswith('control')
        #: Checkout of the version that the process runs from its next start.
        self.build = ROOT
        self.proxy = Proxy(host, PEERS_PORT, PEERS_LISTEN_PORT)
        #: Held while a fault ends and restarts the process.
        self.restart_lock = asyncio.Lock()
        self.disk = folder / name / 'disk'
        self._folder = folder / name
        self._settings = settings
        self._evidence = evidence
        self._process: asyncio.subprocess.Process | None = None
        self._supervisor: asyncio.Task[None] | None = None
        self._exit_expected = False
        self._closed = False

    @property
    def pid(self) -> int:
        """Id of the process that was started last; 0 if there is none."""
        return 0 if self._process is None else self._process.pid

    async def start(self, *, bootstrap: bool = False) -> None:
        """Write the settings file and start the process.

        :param bootstrap: whether the deployment starts for the first time.
        """
        if bootstrap and self.is_control:
            await self.proxy.start()
        self._folder.mkdir(parents=True, exist_ok=True)
        self.write_settings(self._settings['seeds'], bootstrap=bootstrap)
        self._exit_expected = False
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(self.build / 'deploy' / 'cuminhoistd.py'),
            cwd=self.build,
            env={'CUMINHOIST_BOOT': str(self._folder / 'node.json')},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._supervisor = asyncio.create_task(
            self._supervise(self._process),
        )

    def write_settings(
        self,
        seeds: list[str],
        *,
        bootstrap: bool = False,
    ) -> None:
        """Replace the settings file.

        :param seeds: addresses of control instances.
        :param bootstrap: whether the deployment starts for the first time.
        """
        listen = {'directory': f'{self.host}:{LOOKUPS_PORT}'}
        if self.is_control:
            listen['control'] = f'{self.host}:{OPERATORS_PORT}'
        else:
            listen['front'] = f'{self.host}:{CALLERS_PORT}'
            listen['ready'] = f'{self.host}:{READINESS_PORT}'
        content = {
            **self._settings,
            'node': self.name,
            'ip': self.host,
            'zone': self.domain,
            'region': self._settings['zones'][self.domain],
            'listen': listen,
            'internal_ports': [PEERS_PORT, METRICS_PORT],
            'peers_listen': f'{self.host}:{PEERS_LISTEN_PORT}',
            'targets_source': self.host,
            'seeds': seeds,
            'bootstrap': bootstrap,
            'data_dir': str(self.disk) if self.is_control else None,
        }
        path = self._folder / 'node.json'
        new_path = path.with_suffix('.new')
        new_path.write_text(json.dumps(content))
        new_path.replace(path)

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal, unless the process has ended.

        :param signum: the signal to send.
        """
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signum)

    async def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self._exit_expected = True
        self.signal(signal.SIGKILL)
        if self._supervisor is not None:
            await self._supervisor

    async def terminate(self) -> None:
        """Send SIGTERM, and SIGKILL if the process has not ended in time."""
        self._exit_expected = True
        self.signal(signal.SIGTERM)
        if self._supervisor is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(GRACE_S):
                    await asyncio.shield(self._supervisor)
                    return
        await self.kill()

    def wipe(self) -> None:
        """Delete all data of the disk; the process must not be running."""
        shutil.rmtree(self.disk, ignore_errors=True)

    def tear_write(self) -> None:
        """Cut a stored file of each pair to half, as a torn write does.

        Each value is written to two files in turn, so the next write goes to
        the older one; only that one is cut.
        """
        for first_path in sorted(self.disk.glob('*.a')):
            pair = [first_path, first_path.with_suffix('.b')]
            present = [path for path in pair if path.exists()]
            if len(present) == 2:
                older = min(present, key=lambda path: path.stat().st_mtime_ns)
                content, times = older.read_bytes(), older.stat()
                older.write_bytes(content[: len(content) // 2])
                # The torn file stays the older one: another torn write before
                # the next whole one must not cut the file that is in force.
                os.utime(older, ns=(times.st_atime_ns, times.st_mtime_ns))

    def fill_disk(self, *, full: bool) -> None:
        """Make every write to the disk fail, or let writes succeed again.

        A file size limit of 0 bytes stands in for a full disk.

        :param full: whether writes fail.
        """
        if self._process is None or self._process.returncode is not None:
            return
        soft_limit = 0 if full else resource.RLIM_INFINITY
        hard_limit = resource.RLIM_INFINITY
        with contextlib.suppress(ProcessLookupError):
            pid = self._process.pid
            resource.prlimit(
                pid, resource.RLIMIT_FSIZE, (soft_limit, hard_limit)
            )

    async def close(self) -> None:
        """End the process without a restart."""
        self._closed = True
        await self.kill()
        if self.is_control:
            await self.proxy.stop()

    async def _supervise(self, process: asyncio.subprocess.Process) -> None:
        if process.stdout is None:
            return
        with (self._folder / 'log.jsonl').open('ab') as log:
            while content := await process.stdout.read(64 * 1024):
                log.write(content)
        status = await process.wait()
        if not self._exit_expected:
            now = time.monotonic()
            self._evidence.exits.append(
                f'{self.name} ended by itself with status {status} at {now}',
            )
            if not self._closed:
                await asyncio.sleep(RESTART_S)
                await self.start()
