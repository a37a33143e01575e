"""A small deployment of the real programs, with low limits.

The targets run in the process of the test. The processes get a limit on open
descriptors; their memory is read from outside, with the bytes that the kernel
holds unread for them.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import resource
import time

import httpx

from soak.evidence import Evidence
from soak.operators import configuration
from soak.processes import (
    CALLERS_PORT,
    LOOKUPS_PORT,
    METRICS_PORT,
    OPERATORS_PORT,
    PEERS_LISTEN_PORT,
    PEERS_PORT,
    READINESS_PORT,
    Instance,
)

from .upstreams import ListServer, Upstream

HOST = 'crowd.example'
#: A third of the memory of the smallest machine class with a disk.
MEMORY_MB = 100
BYTES_PER_MB = 1_000_000
#: Descriptors of a process; the platform keeps 200 of them for files.
MAX_DESCRIPTORS = 600
MAX_SOCKETS = 400
#: Descriptors of a process for what is no socket: logs, libraries, disk.
FILES = 50
#: Limits of the configuration, as on the users' sheets but for the body.
MAX_HEAD_BYTES = 16384
MAX_BODY_BYTES = 1_000_000
#: An ordinary client gives up after as many seconds without an answer, so
#: that a hung process fails a test instead of holding it.
PATIENCE_S = 20.0
_TRY_S = 4.0
_STARTUP_S = 15.0
_OK = 200

_DOMAIN = 'north-a'


def paths():
    """Return the ordinary request of each port: its path and its headers."""
    return {
        'callers': (CALLERS_PORT, '/browse/1'),
        'look-ups': (LOOKUPS_PORT, f'/-/resolve?name={HOST}&zone={_DOMAIN}'),
        'readiness': (READINESS_PORT, '/-/ready'),
        'metrics': (METRICS_PORT, '/metrics'),
        'operators': (OPERATORS_PORT, '/-/config'),
        'control look-ups': (
            LOOKUPS_PORT,
            f'/-/resolve?name={HOST}&zone={_DOMAIN}',
        ),
        'control metrics': (METRICS_PORT, '/metrics'),
        'relay': (PEERS_PORT, '/browse/1'),
        'peers': (PEERS_LISTEN_PORT, ''),
    }


class Deployment:
    """One control and one entry instance, with a target for each service.

    :param folder: parent of the folders for logs, settings and disks.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.evidence = Evidence()
        self._upstreams = [
            Upstream(host(3, 1), 'catalogue', _DOMAIN, slots=50),
            # It may hold more requests than a process has descriptors.
            Upstream(host(3, 2), 'publisher', _DOMAIN, slots=1000),
        ]
        self._list = ListServer(host(4, 1), self._upstreams)
        settings = {
            'role': 'any',
            'zones': {_DOMAIN: 'north'},
            'seeds': [f'{host(1, 1)}:{OPERATORS_PORT}'],
            'cloud': {'address': self._list.address, 'rate_per_s': 40},
            'bounds': {'grace_s': 3, 'retry_slack': 50},
            'fault_tolerance': {'machines': 0},
            'limits': {
                'memory_mb': MEMORY_MB,
                'max_fds': MAX_DESCRIPTORS,
            },
        }
        self.control, self.entry = (
            Instance(
                f'{role}-{_DOMAIN}',
                _DOMAIN,
                host(number, 1),
                folder,
                settings,
                self.evidence,
            )
            for number, role in enumerate(('control', 'entry'), 1)
        )

    async def start(self, *, configured: bool = True) -> None:
        """Start the programs and wait until they serve.

        :param configured: whether to send a configuration.
        """
        for server in (self._list, *self._upstreams):
            await server.start()
        for instance in (self.control, self.entry):
            await instance.start(bootstrap=True)
            resource.prlimit(
                instance.pid,
                resource.RLIMIT_NOFILE,
                (MAX_SOCKETS + FILES, MAX_SOCKETS + FILES),
            )
        if not configured:
            assert await self.is_served('metrics')
            return
        async with asyncio.timeout(_STARTUP_S):
            while not await self.configure(1):
                await asyncio.sleep(0.1)
        assert await self.is_served('callers')

    async def stop(self) -> None:
        """End all that was started."""
        for instance in (self.entry, self.control):
            await instance.close()
        for server in (self._list, *self._upstreams):
            await server.stop()

    async def configure(self, version: int) -> bool:
        """Send a configuration; tell whether it was acknowledged."""
        return await _ask(
            'PUT',
            f'http://{self.control.host}:{OPERATORS_PORT}/-/config',
            json.dumps(_configuration(version)).encode(),
        )

    def instance_of(self, port_name: str) -> Instance:
        """Return the instance that serves a port."""
        of_control = ('operators', 'control', 'peers')
        return self.control if port_name.startswith(of_control) else self.entry

    def address(self, port_name: str) -> tuple[str, int]:
        """Return the address of a port."""
        port, _ = paths()[port_name]
        return self.instance_of(port_name).host, port

    async def is_served(self, port_name: str) -> bool:
        """Tell whether an ordinary client of a port gets its answer."""
        asked = {'peers': 'operators', 'relay': 'callers'}.get(
            port_name, port_name
        )
        host, port = self.address(asked)
        url = f'http://{host}:{port}{paths()[asked][1]}'
        return await is_answered(url)


def _configuration(version):
    cfg = configuration(version)
    route = cfg['hosts'][0]['paths'][0]
    cfg['hosts'] = [
        {
            'hostname': HOST,
            'paths': [
                route,
                {
                    **route,
                    'name': 'silent',
                    'path_prefix': '/silent/',
                    'backend': 'publisher',
                },
            ],
        }
    ]
    cfg['limits']['max_header_bytes'] = MAX_HEAD_BYTES
    cfg['limits']['max_body_bytes'] = MAX_BODY_BYTES
    return cfg


async def is_answered(url: str) -> bool:
    """Tell whether an ordinary client that tries again gets its answer."""
    ends_at = time.monotonic() + PATIENCE_S
    while time.monotonic() < ends_at:
        if await _ask('GET', url):
            return True
        await asyncio.sleep(0.1)
    return False


async def _ask(method, url, content=b''):
    headers = {
        'host': HOST,
        'x-request-id': os.urandom(8).hex(),
        'x-deadline-ms': '2000',
    }
    with contextlib.suppress(httpx.HTTPError):
        async with httpx.AsyncClient(
            timeout=_TRY_S, trust_env=False, verify=False
        ) as client:
            answer = await client.request(
                method, url, content=content, headers=headers
            )
            return answer.status_code == _OK
    return False


@contextlib.asynccontextmanager
async def deployment(folder, *, configured=True):
    """Start a deployment and end it."""
    world = Deployment(folder)
    try:
        await world.start(configured=configured)
        yield world
    finally:
        await world.stop()


class Usage:
    """Highest use of memory and sockets of one process.

    :param instance: the instance whose process is watched.
    """

    def __init__(self, instance: Instance) -> None:
        self.pid = instance.pid
        self.peak_bytes = 0
        self.peak_sockets = 0
        self._host = instance.host
        self._task = None

    async def __aenter__(self) -> 'Usage':
        """Begin to watch."""
        self._task = asyncio.create_task(self._watch())
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """End the watch."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    @property
    def is_alive(self) -> bool:
        """Whether the process that was watched first still runs."""
        return pathlib.Path(f'/proc/{self.pid}/statm').exists()

    def look(self) -> None:
        """Take one reading."""
        with contextlib.suppress(OSError):
            self.peak_bytes = max(
                self.peak_bytes,
                resident_bytes(self.pid) + unread_bytes(self._host),
            )
            self.peak_sockets = max(self.peak_sockets, _count_sockets(self.pid))

    async def _watch(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(0.05)


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text().split()
    return int(fields[1]) * resource.getpagesize()


def _count_sockets(pid):
    count = 0
    for path in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        with contextlib.suppress(OSError):
            count += os.readlink(path).startswith('socket:')
    return count


def unread_bytes(address: str) -> int:
    """Return the bytes that have arrived at an address and were not read.

    Listening sockets are left out: there the column counts connections.
    """
    octets = reversed(address.split('.'))
    local = ''.join(f'{int(octet):02X}' for octet in octets)
    total = 0
    for line in pathlib.Path('/proc/net/tcp').read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].startswith(local) and fields[3] != '0A':
            total += int(fields[4].partition(':')[2], 16)
    return total


def host(network: int, number: int) -> str:
    """Return a loopback address, which differs between test processes."""
    high, low = divmod(os.getpid(), 200)
    return f'127.{16 + low}.{8 * (high % 30) + network + 4}.{number}'
