"""The real programs as processes, and what is done to them from outside."""

import asyncio
import contextlib
import json
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
PROGRAM = ROOT / 'deploy' / 'cuminhoistd.py'
#: Time between SIGTERM and SIGKILL, in seconds.
GRACE_S = 3.0
#: Time until a process that ended is started again, in seconds.
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

    :param name: name of the instance.
    :param domain: its failure domain.
    :param host: its IP number.
    :param folder: holds its settings, its log and its disk.
    :param settings: what all instances have in common.
    :param evidence: takes ends of its own.
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
        self.proxy = Proxy(host, PEERS_PORT, PEERS_LISTEN_PORT)
        #: Held while the process is ended and started again.
        self.restarting = asyncio.Lock()
        self.disk = folder / name / 'disk'
        self._folder = folder / name
        self._settings = settings
        self._evidence = evidence
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None
        self._ended_by_us = False
        self._stopped = False

    async def start(self, *, first: bool = False) -> None:
        """Start the process.

        :param first: whether the deployment starts for the first time.
        """
        if first and self.is_control:
            await self.proxy.start()
        self._folder.mkdir(parents=True, exist_ok=True)
        self.write_settings(self._settings['seeds'], first=first)
        self._ended_by_us = False
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(PROGRAM),
            cwd=ROOT,
            env={'CUMINHOIST_BOOT': str(self._folder / 'node.json')},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        self._watch = asyncio.create_task(self._run(self._process))

    def write_settings(self, seeds: list[str], *, first: bool = False) -> None:
        """Write the settings file.

        :param seeds: where control instances are reached.
        :param first: whether the deployment starts for the first time.
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
            'seeds': seeds,
            'bootstrap': first,
            'data_dir': str(self.disk) if self.is_control else None,
        }
        path = self._folder / 'node.json'
        fresh = path.with_suffix('.new')
        fresh.write_text(json.dumps(content))
        fresh.replace(path)

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal.

        :param signum: the signal.
        """
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signum)

    async def kill(self) -> None:
        """End the process at once and wait until it is gone."""
        self._ended_by_us = True
        self.signal(signal.SIGKILL)
        if self._watch is not None:
            await self._watch

    async def terminate(self) -> None:
        """Ask the process to end, and end it after the time for that."""
        self._ended_by_us = True
        self.signal(signal.SIGTERM)
        if self._watch is not None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(GRACE_S):
                    await asyncio.shield(self._watch)
                    return
        await self.kill()

    def wipe(self) -> None:
        """Lose the disk; the process must not run."""
        shutil.rmtree(self.disk, ignore_errors=True)

    def tear_write(self) -> None:
        """Leave the next write of each file half done.

        Values are written to two files in turn; the older one is next.
        """
        for newer in sorted(self.disk.glob('*.a')):
            pair = [newer, newer.with_suffix('.b')]
            present = [path for path in pair if path.exists()]
            if len(present) == 2:
                older = min(present, key=lambda path: path.stat().st_mtime_ns)
                content = older.read_bytes()
                older.write_bytes(content[: len(content) // 2])

    def fill_disk(self, *, full: bool) -> None:
        """Let the disk refuse every write, or take writes again.

        :param full: whether it refuses.
        """
        if self._process is None or self._process.returncode is not None:
            return
        limit = 0 if full else resource.RLIM_INFINITY
        hard = resource.RLIM_INFINITY
        with contextlib.suppress(ProcessLookupError):
            pid = self._process.pid
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit, hard))

    async def close(self) -> None:
        """End the process for good."""
        self._stopped = True
        await self.kill()
        if self.is_control:
            await self.proxy.stop()

    async def _run(self, process: asyncio.subprocess.Process) -> None:
        if process.stdout is None:
            return
        with (self._folder / 'log.jsonl').open('ab') as log:
            while content := await process.stdout.read(64 * 1024):
                log.write(content)
        status = await process.wait()
        if not self._ended_by_us:
            now = time.monotonic()
            self._evidence.exits.append(
                f'{self.name} ended by itself with status {status} at {now}',
            )
            if not self._stopped:
                await asyncio.sleep(RESTART_S)
                await self.start()
