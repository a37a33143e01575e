"""Tests of the demonstration.

They guard against a demonstration that hides why it failed.
"""

import asyncio

import httpx
import pytest

from demo import __main__ as demo
from demo import deployment
from demo.deployment import LocalDeployment

ENDS_WITHIN_S = 60.0


async def _time_out(_http, url, **_options):
    await asyncio.sleep(0.1)
    raise httpx.ReadTimeout(url)


async def test_failed_change_hid_its_error(monkeypatch):
    """Guards against a demonstration that leaves its instances running."""
    stopped = []
    start = LocalDeployment.start
    stop = LocalDeployment.stop

    async def start_and_lose_control(local):
        await start(local)
        monkeypatch.setattr(deployment, 'CHANGE_TIMEOUT_S', 0.3)
        monkeypatch.setattr(httpx.AsyncClient, 'post', _time_out)

    async def record_stop(local):
        stopped.append(local)
        await stop(local)

    monkeypatch.setattr(LocalDeployment, 'start', start_and_lose_control)
    monkeypatch.setattr(LocalDeployment, 'stop', record_stop)
    async with asyncio.timeout(ENDS_WITHIN_S):
        with pytest.raises(ExceptionGroup) as caught:
            await demo._run('porth-data', 20, 1)
    assert 'demo-grow was not decided' in str(caught.value.exceptions[0])
    assert len(stopped) == 1
