"""Tests of the long-lived tasks of one instance of the daemon.

They guard against an instance that goes on without one of its tasks after an
error that nobody foresaw.
"""

import asyncio

import pytest

from cuminhoist import node as node_module
from cuminhoist.borrowing import Borrower
from cuminhoist.config_delivery import ConfigDelivery
from cuminhoist.entry_role import EntryRole
from cuminhoist.grant_client import GrantClient
from cuminhoist.httpserver import HttpServer
from cuminhoist.instance_list import PlatformPoller
from cuminhoist.instance_queries import InstanceQuerier
from cuminhoist.metrics import NoMetrics
from cuminhoist.node import Node
from cuminhoist.ownership import Ownership
from cuminhoist.probes import Prober
from cuminhoist.transport import PynngTransport

from . import builders

LOOPS = {
    'delivery': (ConfigDelivery, 'run'),
    'account sync': (InstanceQuerier, 'run_account_sync'),
    'ownership': (Ownership, 'run'),
    'partner heartbeats': (Ownership, 'run_partner_heartbeats'),
    'grants': (GrantClient, 'run'),
    'borrowing': (Borrower, 'run'),
    'probes': (Prober, 'run'),
    'platform list': (PlatformPoller, 'run'),
    'freed slots': (EntryRole, '_poll_freed_slots'),
}
#: Longer than the time after which a failing task counts as down.
LONG_S = 30

pytestmark = pytest.mark.looptime


class CountedRestarts(NoMetrics):
    """Metrics that keep the counts."""

    def __init__(self):
        self.counts = {}

    def count(self, name, by=1):
        self.counts[name] = self.counts.get(name, 0) + by


class FailingLoop:
    """A loop of an instance that fails at once, a number of times."""

    def __init__(self, monkeypatch, name):
        self.failures = 0
        self.starts = 0
        self.is_running = False
        owner, method = LOOPS[name]

        async def run(_owner):
            await self._run()

        monkeypatch.setattr(owner, method, run)

    async def _run(self):
        self.starts += 1
        if self.starts <= self.failures:
            raise OverflowError('unforeseen')
        self.is_running = True
        try:
            await asyncio.Event().wait()
        finally:
            self.is_running = False


@pytest.fixture
def metrics(monkeypatch):
    counted = CountedRestarts()
    monkeypatch.setattr(
        node_module, 'metrics_from_config', lambda _cfg: counted
    )
    return counted


@pytest.fixture
def loops(monkeypatch):
    return {name: FailingLoop(monkeypatch, name) for name in LOOPS}


@pytest.fixture
def ends(monkeypatch, loops):
    """Replace the sockets; return what ran when the server had ended."""
    seen = []

    async def skip(_self):
        """Open and close no socket."""

    async def serve(server):
        server.started, server.servers = True, []
        while not server.should_exit:
            await asyncio.sleep(0.1)
        seen.append([name for name in loops if loops[name].is_running])

    monkeypatch.setattr(PynngTransport, 'start', skip)
    monkeypatch.setattr(PynngTransport, 'stop', skip)
    monkeypatch.setattr(HttpServer, 'serve', serve)
    return seen


def _entry_node():
    topology = builders.example_topology()
    entry = topology.entry_instances()[-1]
    return Node(builders.settings_of(topology, entry.name), topology)


@pytest.mark.parametrize('name', LOOPS)
async def test_failed_task_is_started_again(loops, ends, metrics, name):
    """Guards against a task that ends by an unexpected error for good.

    The instance would run on without it until somebody restarts the process.
    """
    loops[name].failures = 3
    node = _entry_node()
    await node.start()
    await asyncio.sleep(LONG_S)
    assert {each: loops[each].starts for each in LOOPS} == {
        each: 4 if each == name else 1 for each in LOOPS
    }
    assert loops[name].is_running
    assert metrics.counts == {f'task_restarts.{name}': 3}
    assert node.control.status().tasks_down == ()
    await node.kill()


@pytest.mark.parametrize('name', LOOPS)
async def test_status_names_a_task_that_stays_down(loops, ends, metrics, name):
    """Guards against an instance that looks sound without one of its tasks."""
    loops[name].failures = 10**6
    node = _entry_node()
    await node.start()
    assert node.control.status().tasks_down == ()
    await asyncio.sleep(LONG_S)
    assert node.control.status().tasks_down == (name,)
    loops[name].failures = 0
    await asyncio.sleep(LONG_S)
    assert node.control.status().tasks_down == ()
    await node.kill()


async def test_stop_ends_tasks_after_the_server(loops, ends, metrics):
    """Guards against requests that are finished without the tasks.

    It guards as well against a task that starts again after the stop.
    """
    loops['grants'].failures = 10**6
    node = _entry_node()
    await node.start()
    await asyncio.sleep(LONG_S)
    await node.kill()
    assert ends == [[name for name in LOOPS if name != 'grants']]
    starts = loops['grants'].starts
    await asyncio.sleep(LONG_S)
    assert loops['grants'].starts == starts
    assert not any(loop.is_running for loop in loops.values())
