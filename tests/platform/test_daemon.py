"""Tests of the daemon's start."""

import asyncio
import resource
import signal

from cuminhoist.fleet.instance_config import Address, InstanceConfig
from cuminhoist.platform import daemon
from cuminhoist.platform.daemon import Daemon, PlatformTargets


def _site(folder):
    here = '127.8.7.6'
    return InstanceConfig(
        name='control-a',
        domain='a',
        region='south',
        regions={'a': 'south'},
        peer_address=Address(here, 7540),
        seeds=(Address(here, 7540),),
        first_start=True,
        data_folder=str(folder),
        request_address=None,
        readiness_address=None,
        operator_address=Address(here, 8544),
        lookup_address=None,
        metrics_address=Address(here, 7555),
        target_list_address=Address(here, 8541),
        list_calls_per_s=1,
    )


def test_full_disk_at_the_first_start_is_waited_for(tmp_path, monkeypatch):
    """Guards against a process that ends while the disk is full.

    Found by the soak, seed 104: a disk that was lost and full at once.
    """
    monkeypatch.setattr(daemon, 'DISK_RETRY_S', 0.01)
    limits = resource.getrlimit(resource.RLIMIT_FSIZE)
    site = _site(tmp_path / 'disk')

    async def scenario():
        one = Daemon(site)
        source = PlatformTargets(site.target_list_address)
        opening = asyncio.create_task(one._open_control(source))
        await asyncio.sleep(0.05)
        assert not opening.done()
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)
        return await asyncio.wait_for(opening, 5)

    handler = signal.signal(signal.SIGXFSZ, signal.SIG_IGN)
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, limits[1]))
    try:
        role = asyncio.run(scenario())
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, limits)
        signal.signal(signal.SIGXFSZ, handler)
    assert role is not None


def test_stop_while_the_disk_is_full(tmp_path, monkeypatch):
    """Guards against a process that cannot be stopped while it waits."""
    monkeypatch.setattr(daemon, 'DISK_RETRY_S', 0.01)
    blocked = tmp_path / 'file'
    blocked.write_text('')
    site = _site(blocked / 'disk')

    async def scenario():
        one = Daemon(site)
        source = PlatformTargets(site.target_list_address)
        opening = asyncio.create_task(one._open_control(source))
        await asyncio.sleep(0.05)
        one._stopping.set()
        return await asyncio.wait_for(opening, 5)

    assert asyncio.run(scenario()) is None
