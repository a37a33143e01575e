"""Clients that keep to no limit at the product's own daemon.

It has one port for callers and operators.
"""

import asyncio
import contextlib
import resource
import sys

import httpx
import msgspec
import pytest

from benchmarks import mini
from cuminhoist.settings import Settings

from .builders import (
    BYTES_PER_MB,
    FILES,
    MAX_SOCKETS,
    Usage,
    host,
    is_answered,
)
from .kinds import KINDS, Crowd, pressed

#: Memory of one node for control, as the size to design for states it.
MEMORY_MB = 128
PORT = 23_000
STATUS_PATH = '/v1/status'
CHANGES_PATH = '/v1/control/changes'
REQUEST_PATH = '/v1/services/catalogue/1'


class Daemon:
    """The process of one instance that is entry and control instance.

    :param folder: folder of its files.
    """

    def __init__(self, folder) -> None:
        self.host = host(5, 1)
        self._folder = folder
        self._process = None

    @property
    def pid(self) -> int:
        """Id of the process."""
        return self._process.pid

    async def start(self) -> None:
        """Start it and wait until it serves."""
        self._write_files()
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'cuminhoist.daemon',
            '--settings',
            str(self._folder / 'bench-0.json'),
            stderr=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
        )
        resource.prlimit(
            self.pid,
            resource.RLIMIT_NOFILE,
            (MAX_SOCKETS + FILES, MAX_SOCKETS + FILES),
        )
        assert await is_answered(self.url(STATUS_PATH))
        async with httpx.AsyncClient(trust_env=False, verify=False) as client:
            await client.post(self.url('/v1/control/init'))

    async def stop(self) -> None:
        """End the process."""
        with contextlib.suppress(ProcessLookupError):
            self._process.kill()
        await self._process.wait()

    def url(self, path: str) -> str:
        """Return the address of a path."""
        return f'http://{self.host}:{PORT}{path}'

    def _write_files(self) -> None:
        topology = mini.build_topology()
        instance = msgspec.structs.replace(
            topology.instances[0], host=self.host, http_port=PORT
        )
        topology = msgspec.structs.replace(topology, instances=(instance,))
        cfg = Settings.from_instance(
            instance, 'topology.json', 'key', str(self._folder / 'data')
        )
        for name, content in (('topology', topology), ('bench-0', cfg)):
            path = self._folder / f'{name}.json'
            path.write_bytes(msgspec.json.encode(content))


async def _play(folder, path, kind_name):
    daemon = Daemon(folder)
    try:
        await daemon.start()
        crowd = Crowd(KINDS[kind_name], (daemon.host, PORT), path)
        async with Usage(daemon) as usage:
            async with pressed([crowd]):
                served_beside = await is_answered(daemon.url(STATUS_PATH))
            served_after = await is_answered(daemon.url(STATUS_PATH))
        print(
            f'daemon {path} {kind_name}: '
            f'{usage.peak_bytes / BYTES_PER_MB:.0f} MB, '
            f'{usage.peak_sockets} sockets, beside {served_beside}, '
            f'after {served_after}'
        )
        assert usage.is_alive
        assert usage.peak_bytes <= MEMORY_MB * BYTES_PER_MB
        assert usage.peak_sockets <= MAX_SOCKETS
        assert served_beside
        assert served_after
    finally:
        await daemon.stop()


@pytest.mark.parametrize('kind_name', KINDS)
async def test_crowd_of_callers_is_borne(tmp_path, kind_name):
    """Guards against a daemon that ends or hangs beside such callers."""
    await _play(tmp_path, REQUEST_PATH, kind_name)


@pytest.mark.parametrize('kind_name', ['endless-body', 'stopped-bodies'])
async def test_crowd_of_operators_is_borne(tmp_path, kind_name):
    """Guards against a daemon that ends or hangs beside such operators."""
    await _play(tmp_path, CHANGES_PATH, kind_name)
