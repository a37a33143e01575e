"""Tests of the first start of a control instance on a disk that refuses writes.

Without a stored identity the instance can't vote, so it must wait for the disk
and still be stoppable.
"""

import asyncio
import contextlib
import json
import pathlib
import resource
import shutil
import signal
import subprocess
import sys

import msgspec

from cuminhoist.fleet.instance_config import Address, InstanceConfig
from cuminhoist.platform import daemon
from cuminhoist.platform.daemon import Daemon, PlatformTargets

from .builders import SETTINGS

#: Entry of the list of targets, without its name.
ENTRY = {
    'backend': 'catalogue',
    'address': '10.128.0.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'cold_remaining_ms': 0,
}


def _config(folder):
    ip = '127.8.7.6'
    return InstanceConfig(
        name='control-a',
        domain='a',
        region='south',
        regions={'a': 'south'},
        peer_address=Address(ip, 7540),
        seeds=(Address(ip, 7540),),
        first_start=True,
        data_folder=str(folder),
        request_address=None,
        readiness_address=None,
        operator_address=Address(ip, 8544),
        lookup_address=None,
        metrics_address=Address(ip, 7555),
        target_list_address=Address(ip, 8541),
        list_calls_per_s=1,
    )


def test_full_disk_at_the_first_start_is_waited_for(tmp_path, monkeypatch):
    """Guards against a process that ends while the disk is full.

    It happened in the soak, seed 104: a disk was lost and full at once.
    """
    monkeypatch.setattr(daemon, 'DISK_RETRY_S', 0.01)
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    cfg = _config(tmp_path / 'disk')

    async def scenario():
        process = Daemon(cfg)
        source = PlatformTargets(cfg.target_list_address)
        creating = asyncio.create_task(process._create_control_instance(source))
        await asyncio.sleep(0.05)
        assert not creating.done()
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)
        return await asyncio.wait_for(creating, 5)

    handler = signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, limits[1]))
    try:
        control = asyncio.run(scenario())
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)
        signal.signal(signal.SIGXFSZ, handler)
    assert control is not None


def test_stop_while_the_disk_is_full(tmp_path, monkeypatch):
    """Guards against a process that can't be stopped during the wait."""
    monkeypatch.setattr(daemon, 'DISK_RETRY_S', 0.01)
    blocked = tmp_path / 'file'
    blocked.write_text('')
    cfg = _config(blocked / 'disk')

    async def scenario():
        process = Daemon(cfg)
        source = PlatformTargets(cfg.target_list_address)
        creating = asyncio.create_task(process._create_control_instance(source))
        await asyncio.sleep(0.05)
        process._stopping.set()
        return await asyncio.wait_for(creating, 5)

    assert asyncio.run(scenario()) is None


def test_http_client_is_not_imported_at_the_start():
    """Guards against memory for a client that most instances never use."""
    check = (
        'import sys, cuminhoist.platform.daemon; '
        "sys.exit(any(name in sys.modules for name in ('httpx', 'httpcore')))"
    )
    done = subprocess.run([sys.executable, '-c', check], check=False)
    assert done.returncode == 0


def test_sighup_before_the_daemon_runs_does_not_end_the_process(tmp_path):
    """Guards against a process that a change of settings ends as it starts.

    It happened in the soak, seed 95001, with two versions side by side.
    """
    program = pathlib.Path(__file__).parents[2] / 'deploy' / 'cuminhoistd.py'
    (tmp_path / 'deploy').mkdir()
    shutil.copy(program, tmp_path / 'deploy')
    package = tmp_path / 'src' / 'cuminhoist' / 'platform'
    package.mkdir(parents=True)
    (package / '__init__.py').touch()
    (package.parent / '__init__.py').touch()
    (package / 'daemon.py').write_text(
        'import os, signal\n'
        'os.kill(os.getpid(), signal.SIGHUP)\n'
        'def main(): print("runs")\n'
    )
    done = subprocess.run(
        [sys.executable, tmp_path / 'deploy' / program.name],
        check=False,
        capture_output=True,
    )
    assert (done.returncode, done.stdout) == (0, b'runs\n')


async def test_settings_that_changed_during_the_start_are_read(
    tmp_path, monkeypatch
):
    """Guards against seeds of before the start, as SIGHUP is ignored then."""
    monkeypatch.setattr(daemon, 'SETTINGS_POLL_S', 0.01)
    path = tmp_path / 'node.json'
    path.write_text(json.dumps(SETTINGS))
    monkeypatch.setattr(daemon, 'settings_path', lambda: path)
    process = Daemon(_config(tmp_path / 'disk'))
    replaced = asyncio.get_running_loop().create_future()
    watching = asyncio.create_task(process._watch_settings(replaced.set_result))
    done, _ = await asyncio.wait((replaced, watching), timeout=5)
    watching.cancel()
    assert replaced in done


class _ListServer:
    """Serves a list with one target, and counts its reads."""

    def __init__(self, name):
        self.reads = 0
        self._body = json.dumps(
            {'instances': {name: ENTRY}, 'next_page_token': None}
        )

    async def start(self):
        """Listen and return the address."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        return Address(*self._server.sockets[0].getsockname())

    def stop(self):
        """Close the listener."""
        self._server.close()

    async def _serve(self, reader, writer):
        with contextlib.suppress(EOFError, ConnectionError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                self.reads += 1
                head = f'content-length: {len(self._body)}\r\n\r\n'
                answer = f'HTTP/1.1 200 OK\r\n{head}{self._body}'
                writer.write(answer.encode())
        writer.close()


async def test_list_of_targets_is_read_where_changed_settings_name_it(
    tmp_path, monkeypatch
):
    """Guards against a list that stays that of the start (DRAIN)."""
    monkeypatch.setattr(daemon, 'SETTINGS_POLL_S', 0.01)
    former, present = _ListServer('i-former'), _ListServer('i-present')
    addresses = [await former.start(), await present.start()]
    path = tmp_path / 'node.json'
    monkeypatch.setattr(daemon, 'settings_path', lambda: path)
    cfg = msgspec.structs.replace(
        _config(tmp_path / 'disk'), target_list_address=addresses[0]
    )
    process = Daemon(cfg)
    source = process._source
    (listed,) = (await source.read()).unwrap().targets
    assert listed.name == 'i-former'
    cloud = {**SETTINGS['cloud'], 'address': str(addresses[1])}
    path.write_text(json.dumps({**SETTINGS, 'cloud': cloud}))
    reloaded = asyncio.get_running_loop().create_future()
    watching = asyncio.create_task(process._watch_settings(reloaded.set_result))
    await asyncio.wait_for(reloaded, 5)
    (listed,) = (await source.read()).unwrap().targets
    assert listed.name == 'i-present'
    assert (former.reads, present.reads) == (1, 1)
    watching.cancel()
    former.stop()
    present.stop()


def test_stopped_process_ends_without_the_end_of_the_interpreter():
    """Guards against a stopped process that is killed while it frees memory.

    A finalizer stands for what the interpreter does at its end.
    """
    script = (
        'import atexit\n'
        'from returns.result import Success\n'
        'from cuminhoist.platform import daemon\n'
        'async def run(cfg): print("stopped", flush=True)\n'
        'daemon._run = run\n'
        'daemon.load_settings = lambda path: Success(None)\n'
        'daemon.settings_path = lambda: ""\n'
        'atexit.register(print, "end of the interpreter", flush=True)\n'
        'daemon.main()\n'
    )
    ended = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        check=True,
        cwd=pathlib.Path(daemon.__file__).parents[2],
    )
    assert ended.stdout == b'stopped\n'
