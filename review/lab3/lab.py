"""A small deployment on loopback for the scripts of the third review.

The programs run as processes with the command of the deploy file. The list of
targets, the targets, the operator and the clients are stand-ins that follow
the platform's pages (PROTOCOL.md, DEPLOY.md).
"""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
OPERATORS, LOOKUPS, READY, FRONT, PEERS, METRICS = (
    8544,
    8546,
    8542,
    8548,
    7540,
    7555,
)
#: Region of each zone, unless a case has others.
ZONES = {'north-a': 'north', 'north-b': 'north', 'north-c': 'north'}
GRACE_S = 6.0


class Record:
    """Writes what happened to record.txt."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w')
        self._began = time.monotonic()

    def line(self, text: str) -> None:
        self._file.write(f'{time.monotonic() - self._began:8.3f} {text}\n')
        self._file.flush()


class Hosts:
    """Loopback addresses whose ports are free."""

    def __init__(self) -> None:
        while True:
            self._net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
            with socket.socket() as probe:
                with contextlib.suppress(OSError):
                    probe.bind((f'{self._net}.1', OPERATORS))
                    break
        self._numbers = itertools.count(1)

    def take(self) -> str:
        return f'{self._net}.{next(self._numbers)}'


async def read_head(reader):
    """Return the first line and the headers (names in lower case)."""
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw[:-4].split(b'\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, text = line.partition(b':')
        headers[name.strip().lower().decode()] = text.strip().decode('latin-1')
    return lines[0].decode('latin-1'), headers


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).strip() or b'0', 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get('content-length', 0)))


class Target:
    """One target: runs requests for some time and signs its answers."""

    def __init__(self, world, host, service, zone, slots=3, work_s=0.25):
        self.world, self.host, self.service = world, host, service
        self.zone, self.slots, self.work_s = zone, slots, work_s
        self.port = 8080
        self.state = 'ready'
        self.up = False
        self.listed = False
        self.running = {}
        self._writers = set()
        self._server = None
        self.identity = ''
        self._cold_until = 0.0

    async def start(self, cold_s=0.0):
        self._cold_until = time.monotonic() + cold_s
        self.identity = f'i-{secrets.token_hex(4)}'
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self._slots = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=200
        )
        self.up = self.listed = True

    @property
    def cold_left_s(self):
        return max(self._cold_until - time.monotonic(), 0.0)

    def crash(self):
        """End as a killed process does: its connections break."""
        self.up = False
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self._writers.clear()

    async def _serve(self, reader, writer):
        boot = self.identity
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                method, path, _ = line.split(' ')
                body = await read_body(reader, headers)
                await self._answer(boot, method, path, headers, body, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, boot, method, path, headers, body, writer):
        request_id = headers.get('x-request-id', '')
        if path == '/health':
            await _send(writer, 200, {'X-Instance-Id': boot}, b'')
            return
        echo = {'X-Request-Id': request_id}
        expected = headers.get('x-expect-instance')
        if expected and expected != boot:
            await _send(writer, 421, {**echo, 'X-Not-Executed': '1'}, b'')
            return
        if self.state == 'stopping':
            await _send(writer, 503, {**echo, 'X-Not-Executed': '1'}, b'')
            return
        async with self._slots:
            if not self.up or boot != self.identity:
                return
            self.world.ran(self, request_id, method, path)
            self.running[request_id] = path
            try:
                # A cold target is slow.
                await asyncio.sleep(self.work_s * (2 if self.cold_left_s else 1))
            finally:
                self.running.pop(request_id, None)
        if not self.up or boot != self.identity:
            return
        echo['X-Server-Stamp'] = f'{boot}.{request_id}'
        await _send(writer, 200, echo, b'done ' + request_id.encode())


async def _send(writer, status, headers, body):
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n'
    head += ''.join(f'{name}: {text}\r\n' for name, text in headers.items())
    writer.write(head.encode() + b'\r\n' + body)
    await writer.drain()


class World:
    """The deployment with its stand-ins."""

    def __init__(
        self,
        folder: pathlib.Path,
        controls=3,
        fronts=1,
        losses=1,
        front_zones=3,
        regions=None,
    ):
        self.zones = regions or ZONES
        self.record = Record(folder / 'record.txt')
        self.hosts = Hosts()
        self.runs = {}
        #: Times at which each boot of a target began to run a request.
        self.run_times = collections.defaultdict(list)
        #: Reads of the list at its present address.
        self.list_reads = 0
        self.targets = []
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix='review3-'))
        self._lost = losses
        zones = list(self.zones)
        self.list_host = self.hosts.take()
        self.controls = [
            (f'core-{zone}-{number // len(zones)}', zone, self.hosts.take())
            for number, zone in zip(
                range(controls), itertools.cycle(zones), strict=False
            )
        ]
        self.fronts = [
            (f'front-{zone}-{number}', zone, self.hosts.take())
            for number in range(fronts)
            for zone in zones[:front_zones]
        ]
        self.processes = {}
        self._tasks = []
        self._list_writers = set()
        self.seeds = [f'{host}:{OPERATORS}' for _, _, host in self.controls[:3]]

    def report(self, text):
        """Write a line to the record and to standard output."""
        self.record.line(text)
        print(text, flush=True)

    def ran(self, target, request_id, method, path):
        self.runs.setdefault(request_id, []).append(target.identity)
        self.run_times[target.identity].append(time.monotonic())
        self.record.line(f'run {request_id} {method} {path} {target.identity}')

    async def add_targets(self, service, count, zones=None, **options):
        for _, zone in zip(range(count), itertools.cycle(zones or self.zones), strict=False):
            target = Target(self, self.hosts.take(), service, zone, **options)
            await target.start()
            self.targets.append(target)

    async def start(self):
        await self._start_list()
        for name, zone, host in (*self.controls, *self.fronts):
            self.start_process(name, zone, host, bootstrap=True)

    async def _start_list(self):
        self._list = await asyncio.start_server(
            self._serve_list, self.list_host, 8541
        )

    async def move_list(self, overlap_s, signalled):
        """Serve the list at another address and tell all processes.

        The settings files are replaced before SIGHUP is sent to some of the
        processes, and the former address serves for some time more.

        :param signalled: how many processes, drawn by lot, get SIGHUP.
        """
        former, former_writers = self._list, self._list_writers
        self._list_writers = set()
        self.list_host = self.hosts.take()
        self.list_reads = 0
        await self._start_list()
        for name, zone, host in (*self.controls, *self.fronts):
            self._write_settings(name, zone, host, bootstrap=False)
        for name in random.sample(sorted(self.processes), signalled):
            self.signal(name, signal.SIGHUP)
        self.record.line(f'the list is at {self.list_host} from now on')
        await asyncio.sleep(overlap_s)
        former.close()
        for writer in former_writers:
            writer.close()

    def settings(self, name, zone, host, bootstrap):
        is_core = name.startswith('core')
        listen = {'directory': f'{host}:{LOOKUPS}'}
        if is_core:
            listen['control'] = f'{host}:{OPERATORS}'
        else:
            listen |= {'front': f'{host}:{FRONT}', 'ready': f'{host}:{READY}'}
        disk = self.temp / name
        disk.mkdir(exist_ok=True)
        return {
            'node': name,
            'role': 'control' if is_core else 'entry',
            'machine_class': 'core' if is_core else 'front',
            'serves': list(listen),
            'ip': host,
            'zone': zone,
            'region': self.zones[zone],
            'zones': self.zones,
            'listen': listen,
            'internal_ports': [PEERS, METRICS],
            'seeds': self.seeds,
            'bootstrap': bootstrap,
            'in_fault_budget': is_core,
            'limits': {
                'cpu_share': 1.0,
                'cores': 1,
                'memory_mb': 300,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 256 if is_core else 0,
            },
            'data_dir': str(disk) if is_core else None,
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
            'fault_tolerance': {
                'machines': self._lost,
                'zones': 1,
                'regions': 1,
            },
            'bounds': {
                'seed_lag_s': 3,
                'reuse_after_s': 2,
                'contact_ms': 4000,
                'ack_ms': 4000,
                'catch_up_s': 4,
                'drain_ms': 3000,
                'grace_s': GRACE_S,
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
            },
            'config_mode': 'highest',
            'cloud': {
                'address': f'{self.list_host}:8541',
                'rate_per_s': 44.0,
                'duties': [],
                'max_lag_ms': 800,
            },
        }

    def _write_settings(self, name, zone, host, bootstrap):
        settings = self.settings(name, zone, host, bootstrap)
        path = self.temp / f'{name}.json'
        new_path = path.with_suffix('.new')
        new_path.write_text(json.dumps(settings))
        new_path.replace(path)
        return settings

    def start_process(self, name, zone, host, bootstrap=False):
        settings = self._write_settings(name, zone, host, bootstrap)
        path = self.temp / f'{name}.json'
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles'][settings['role']]['run'].split()
        log = (self.temp / f'{name}.log').open('ab')
        self.processes[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'CUMINHOIST_BOOT': str(path),
            },
        )

    def signal(self, name, number):
        self.processes[name].send_signal(number)
        self.record.line(f'{signal.Signals(number).name} to {name}')

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)

    async def _serve_list(self, reader, writer):
        self._list_writers.add(writer)
        with contextlib.suppress(Exception):
            while True:
                _, headers = await read_head(reader)
                await read_body(reader, headers)
                self.list_reads += writer in self._list_writers
                entries = {
                    target.identity: {
                        'backend': target.service,
                        'address': f'{target.host}:{target.port}',
                        'zone': target.zone,
                        'version': 'v1',
                        'slots': target.slots,
                        'state': 'draining'
                        if target.state != 'ready'
                        else 'ready',
                        'cold_remaining_ms': round(target.cold_left_s * 1000),
                        'born': target.born,
                    }
                    for target in self.targets
                    if target.listed
                }
                body = json.dumps(
                    {'instances': entries, 'next_page_token': None}
                ).encode()
                await _send(
                    writer, 200, {'Content-Type': 'application/json'}, body
                )
        writer.close()

    async def operate(self, method, path, body=b'', host='', timeout_s=1.0):
        """Return the status of one call of the operator, and its body."""
        host = host or random.choice(self.controls)[2]
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, OPERATORS)
                try:
                    writer.write(
                        f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
                        'Content-Type: application/json\r\n'
                        f'Content-Length: {len(body)}\r\n'
                        'Connection: close\r\n\r\n'.encode()
                        + body
                    )
                    line, headers = await read_head(reader)
                    return int(line.split()[1]), await read_body(
                        reader, headers
                    )
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return 0, b''

    async def order(self, method, path, body=b'', limit_s=20.0):
        """Send an order again until it is acknowledged."""
        ends_at = time.monotonic() + limit_s
        pause_s = 0.1
        while time.monotonic() < ends_at:
            status, _ = await self.operate(method, path, body)
            if status == 200 or status in {400, 409, 412, 413, 422}:
                self.record.line(f'{method} {path}: {status}')
                return status
            await asyncio.sleep(pause_s)
            pause_s = min(pause_s * 1.5, 1.0)
        self.record.line(f'{method} {path}: no acknowledgement')
        return 0

    async def configure(self, version, routes, services):
        """Send a configuration; routes are dictionaries of one host."""
        config = {
            'version': f'r{version}',
            'services': [
                {
                    'name': name,
                    'health_path': '/health',
                    'max_connections': 390,
                    'protocol': 'h1',
                    'tls': False,
                    'cold_start_s': 3.0,
                    'cold_per_s': 6.2,
                }
                for name in services
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 67108864,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
            'hosts': [{'hostname': 'site.example', 'paths': routes}],
        }
        return await self.order(
            'PUT', '/-/config', json.dumps(config).encode()
        )

    async def wait_ready(self, limit_s=20.0):
        """Wait until all fronts say that they are ready."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            if all(
                [await self.is_ready(host) for _, _, host in self.fronts]
            ):
                return True
            await asyncio.sleep(0.2)
        return False

    async def is_ready(self, host):
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(host, READY)
                writer.write(
                    b'GET /-/ready HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                line, _ = await read_head(reader)
                writer.close()
                return line.split()[1] == '200'
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


def route(name, prefix, service, kind='safe', timeout_ms=1500, **more):
    """Return a route as the operator writes it."""
    return {
        'name': name,
        'path_prefix': prefix,
        'type': kind,
        'timeout_ms': timeout_ms,
        'aim_ms': 1200,
        'priority': 1,
        'backend': service,
        'max_attempts': 2,
        'sticky': False,
        'allowed_regions': [],
        **more,
    }


class Client:
    """One client: keeps its connection to a front, as pages allow."""

    def __init__(self, world, host, source=''):
        self.world, self.host, self.source = world, host, source
        self._streams = None

    async def request(self, method, path, body=b'', deadline_ms=2000, **headers):
        """Send one request; return its id and status (0 for no answer)."""
        request_id = secrets.token_hex(8)
        status = 0
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                status = await self._send(
                    request_id, method, path, body, deadline_ms, headers
                )
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
        self.world.record.line(f'sent {request_id} {method} {path}: {status}')
        return request_id, status

    async def _send(self, request_id, method, path, body, deadline_ms, more):
        if self._streams is None:
            local = (self.source, 0) if self.source else None
            self._streams = await asyncio.open_connection(
                self.host, FRONT, local_addr=local
            )
        reader, writer = self._streams
        headers = {
            'Host': 'site.example',
            'X-Request-Id': request_id,
            'X-Deadline-Ms': str(deadline_ms),
            **more,
        }
        if body or method != 'GET':
            headers['Content-Length'] = str(len(body))
        writer.write(
            f'{method} {path} HTTP/1.1\r\n'.encode()
            + ''.join(f'{k}: {v}\r\n' for k, v in headers.items()).encode()
            + b'\r\n'
            + body
        )
        line, answer = await read_head(reader)
        await read_body(reader, answer)
        if answer.get('connection', '').lower() == 'close':
            self.close()
        return int(line.split()[1])

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def quiet_loop():
    """Print nothing about connections that end with the case."""
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _loop, _context: None)


def run_case(main):
    """Run a case for 120 seconds at most and exit with its result."""

    async def limited():
        async with asyncio.timeout(115):
            return await main()

    try:
        sys.exit(asyncio.run(limited()))
    except (OSError, TimeoutError) as exc:
        print(f'the case could not run: {exc!r}')
        sys.exit(2)
