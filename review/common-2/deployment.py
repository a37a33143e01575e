"""Starts the programs of the deploy file as processes on loopback addresses.

The stand-ins (list of targets, targets, operator) follow the users' pages and
use only the standard library.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]

OPERATORS_PORT = 8544
LOOKUPS_PORT = 8546
CALLERS_PORT = 8548
READINESS_PORT = 8542
PEERS_PORT = 7540
METRICS_PORT = 7555
LIST_PORT = 8541
TARGET_PORT = 8080

#: Zones and regions of a deployment with one control instance a zone.
ZONES = {
    'north-a': 'north',
    'north-b': 'north',
    'south-a': 'south',
    'south-b': 'south',
    'west-a': 'west',
    'west-b': 'west',
}
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'contact_ms': 4000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 2500,
    'rollback_slack_ms': 250,
    'max_skew_ms': 6000,
    'retry_budget_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 56,
    'cold_over': 1.5,
    'cold_slack': 5,
    'evacuate_ms': 5000,
    'recover_s': 15,
    'ttl_max_s': 5,
    'shift_most': 0.15,
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, with the time in seconds.

    :param path: path of the file.
    """

    def __init__(self, path):
        self._began_at = time.monotonic()
        self._file = path.open('w')

    @property
    def now(self):
        """Seconds since the start of the case."""
        return time.monotonic() - self._began_at

    def add(self, text):
        """Write one line.

        :param text: what happened.
        """
        self._file.write(f'{self.now:8.3f} {text}\n')
        self._file.flush()


class Network:
    """Loopback addresses that no other process of this machine uses."""

    def __init__(self):
        for attempt in range(50):
            number = os.getpid() + 7 * attempt
            self._base = f'127.{40 + number % 180}.{number // 180 % 250}.'
            if self._is_free():
                return
        raise CannotRun('no free loopback addresses')

    def host(self, number):
        """Return an address.

        :param number: number of the host, from 1.
        """
        return f'{self._base}{number}'

    def _is_free(self):
        try:
            for number in (1, 11, 21):
                for port in (OPERATORS_PORT, CALLERS_PORT, LIST_PORT):
                    with socket.socket() as sock:
                        sock.bind((self.host(number), port))
        except OSError:
            return False
        return True


class Machine:
    """One machine with its settings, its disk and its process.

    :param name: name of the machine.
    :param zone: its failure domain.
    :param host: its address.
    :param is_control: whether it has a disk and serves control.
    :param deployment: the deployment that it belongs to.
    """

    def __init__(self, name, zone, host, is_control, deployment):
        self.name = name
        self.zone = zone
        self.host = host
        self.is_control = is_control
        self._deployment = deployment
        self._folder = deployment.folder / name
        self._process = None
        self._log = None

    @property
    def running(self):
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def process_id(self):
        """Process id of the running process."""
        return self._process.pid

    async def start(self, *, bootstrap):
        """Write the settings and start the process.

        :param bootstrap: whether the whole system starts for the first time.
        """
        self._folder.mkdir(parents=True, exist_ok=True)
        path = self._folder / 'node.json'
        path.write_text(json.dumps(self._settings(bootstrap)))
        if self._log is None:
            self._log = (self._folder / 'log').open('ab')
        self._process = await asyncio.create_subprocess_exec(
            'python3',
            'deploy/cuminhoistd.py',
            cwd=ROOT,
            env={
                'CUMINHOIST_BOOT': str(path),
                'PATH': os.environ.get('PATH', ''),
                'HOME': os.environ.get('HOME', ''),
                'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            },
            stdout=self._log,
            stderr=self._log,
        )

    def signal(self, signum):
        """Send a signal to the process.

        :param signum: the signal.
        """
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signum)

    async def kill(self):
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def wipe(self):
        """Lose the disk of a machine that does not run."""
        shutil.rmtree(self._folder / 'disk', ignore_errors=True)

    def log_text(self):
        """Return what the process has logged."""
        return (self._folder / 'log').read_text(errors='replace')

    def _settings(self, bootstrap):
        deployment = self._deployment
        listen = {'directory': f'{self.host}:{LOOKUPS_PORT}'}
        if self.is_control:
            listen['control'] = f'{self.host}:{OPERATORS_PORT}'
        else:
            listen['front'] = f'{self.host}:{CALLERS_PORT}'
            listen['ready'] = f'{self.host}:{READINESS_PORT}'
        return {
            'node': self.name,
            'role': 'control' if self.is_control else 'entry',
            'machine_class': 'core' if self.is_control else 'front',
            'serves': ['control' if self.is_control else 'front', 'directory'],
            'ip': self.host,
            'zone': self.zone,
            'region': ZONES[self.zone],
            'zones': ZONES,
            'listen': listen,
            'internal_ports': [PEERS_PORT, METRICS_PORT],
            'seeds': deployment.seeds,
            'bootstrap': bootstrap,
            'in_fault_budget': self.is_control,
            'limits': {
                'cpu_share': 1.0,
                'cores': 1,
                'memory_mb': 296 if self.is_control else 300,
                'max_fds': 4096,
                'link_mbps': 1000.0,
                'disk_mb': 256 if self.is_control else 0,
            },
            'data_dir': (
                str(self._folder / 'disk') if self.is_control else None
            ),
            'discovery': 'cloud',
            'entry': 'directory',
            'heartbeat_ms': 1500,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'places',
            ],
            'fault_tolerance': {'machines': 2, 'zones': 1, 'regions': 1},
            'bounds': BOUNDS,
            'config_mode': 'highest',
            'cloud': {
                'address': f'{deployment.list_host}:{LIST_PORT}',
                'rate_per_s': 44.0,
                'duties': [],
                'max_lag_ms': 800,
            },
        }


class Deployment:
    """Six control instances and two entry instances, with a list of targets.

    :param record: gets what happens.
    """

    def __init__(self, record):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        network = Network()
        self.network = network
        self.list_host = network.host(21)
        #: Entries of the list of targets, by id.
        self.listed = {}
        self.controls = [
            Machine(f'core-{zone}-1', zone, network.host(number), True, self)
            for number, zone in enumerate(ZONES, 1)
        ]
        self.entries = [
            Machine(f'front-{zone}-1', zone, network.host(number), False, self)
            for number, zone in ((11, 'north-a'), (12, 'south-a'))
        ]
        #: One control instance of each region, as the platform chooses them.
        self.seed_machines = self.controls[::2]
        self.seeds = [
            f'{machine.host}:{OPERATORS_PORT}' for machine in self.seed_machines
        ]
        self._list_server = None

    async def start_list(self):
        """Start the server of the list of targets."""
        self._list_server = await asyncio.start_server(
            self._serve_list, self.list_host, LIST_PORT
        )

    async def start(self):
        """Start all machines at once, for the first time."""
        await self.start_list()
        for machine in self.controls + self.entries:
            await machine.start(bootstrap=True)
        self.record.add('all machines started, bootstrap true')

    async def stop(self):
        """End all processes and remove the temporary folder."""
        for machine in self.controls + self.entries:
            await machine.kill()
        if self._list_server is not None:
            self._list_server.close()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def _serve_list(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                body = json.dumps(
                    {'instances': self.listed, 'next_page_token': None}
                ).encode()
                writer.write(
                    b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
                    b'content-length: %d\r\n\r\n%b' % (len(body), body)
                )
                await writer.drain()
        writer.close()


async def call(host, port, method, path, body=None, timeout_s=1.0):
    """Return status and body of a call; status 0 for no response.

    :param host: address of the server.
    :param port: its port.
    :param method: HTTP method.
    :param path: path with the query.
    :param body: bytes of the body, if any.
    :param timeout_s: time without a response after which to give up.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            content = body or b''
            writer.write(
                f'{method} {path} HTTP/1.1\r\nhost: {host}\r\n'
                f'content-type: application/json\r\n'
                f'content-length: {len(content)}\r\n'
                f'connection: close\r\n\r\n'.encode()
                + content
            )
            head = await reader.readuntil(b'\r\n\r\n')
            status = int(head.split(b' ', 2)[1])
            return status, await reader.read()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b''
    finally:
        if writer is not None:
            writer.close()


def configuration(version, services=('catalogue', 'publisher')):
    """Return a valid configuration as bytes.

    :param version: number of its version.
    :param services: names of the services.
    """
    common = {
        'timeout_ms': 2000,
        'aim_ms': 300 + version % 7,
        'priority': 1,
        'max_attempts': 2,
        'sticky': True,
        'allowed_regions': [],
    }
    content = {
        'version': f'r{version}',
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_connections': 330,
                'protocol': 'h1',
                'tls': False,
                'cold_start_s': 3.0,
                'cold_per_s': 9.4,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'hosts': [
            {
                'hostname': 'portal.example',
                'paths': [
                    {
                        'name': 'browse',
                        'path_prefix': '/browse/',
                        'type': 'safe',
                        'backend': services[0],
                        **common,
                    },
                    {
                        'name': 'publish',
                        'path_prefix': '/publish/',
                        'type': 'unsafe',
                        'backend': services[-1],
                        **common,
                    },
                ],
            },
        ],
    }
    return json.dumps(content).encode()
