"""Runs complete entry instances on the fakes of `steering_world`."""

import asyncio
import dataclasses
import itertools
import types
from unittest import mock

import looptime
from returns.result import Failure

from cuminhoist.caller_request import CallerRequest
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.entry_role import Clients, EntryRole, InstanceContext
from cuminhoist.membership import Membership
from cuminhoist.node import Node as DaemonNode
from cuminhoist.types import Ran

from .builders import settings_of
from .steering_world import (
    CLIENT,
    KIND_OF,
    SLOTS,
    FakePeers,
    FakeProbes,
    FakeTarget,
    FakeTargets,
    FakeTransport,
    NodeClock,
    config,
    topology_of,
)


@dataclasses.dataclass
class SentRequest:
    """A request of a caller and its result.

    :param instance: name of the instance that it was sent to.
    :param home_domain: home domain of the client.
    :param result: open, answered, unknown or not-run; lost if the instance
        crashed or the caller left, unreached if the instance was down.
    """

    request: str
    key: str
    caller: str
    instance: str
    home_domain: str
    sent_at: float
    result: str = 'open'
    status: int = 0
    reason: str = ''
    ended_at: float = 0


class Instance:
    """An entry instance; `start` begins a new incarnation."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.domain = world.topology.instance(name).domain
        self.cfg = settings_of(world.topology, name)
        self.up = False
        # Dictionaries, unlike sets, keep the order of tasks in every run.
        self.requests = {}
        self._tasks = {}

    def start(self, configuration):
        self.up, self.arrived_count = True, 0
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.clock = NodeClock(self.world)
        self.transport = FakeTransport(self.world, self)
        self.in_force = ConfigInForce()
        self.in_force.replace_if_newer(configuration)
        base = InstanceContext(
            cfg=self.cfg,
            topology=self.world.topology,
            clock=self.clock,
            transport=self.transport,
            in_force=self.in_force,
        )
        membership = Membership(
            base.topology, self.name, self.clock, self.in_force
        )
        self.peers = FakePeers(self.world, self)
        clients = Clients(
            targets=FakeTargets(self.world, self),
            peers=self.peers,
            probes=FakeProbes(self.world),
        )
        with mock.patch('secrets.randbits', return_value=7):
            self.entry = EntryRole(base, membership, clients)
        for factory in self.entry.tasks().values():
            self.spawn(factory())

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks[task] = True
        task.add_done_callback(self._tasks.pop)
        return task

    def crash(self):
        self.up = False
        for task in (*self._tasks, *self.entry.service._keyed._tasks):
            task.cancel()

    def pause(self):
        self.clock.frozen_at = self.clock.now()
        self.resumed.clear()

    def resume(self):
        self.clock.frozen_at = None
        self.resumed.set()

    async def stop(self):
        """Stop as the daemon does: hand over, finish requests, then end."""
        daemon = types.SimpleNamespace(
            _server=types.SimpleNamespace(start_drain=lambda: None),
            _clock=self.clock,
            _cfg=self.cfg,
        )
        await DaemonNode._leave(daemon, self.entry)
        while self.requests:
            await asyncio.sleep(0.1)
        self.crash()

    async def serve(self, req):
        await self.resumed.wait()
        task = asyncio.current_task()
        self.requests[task] = True
        self.arrived_count += req.hop is None
        try:
            return await self.entry.service.serve(req)
        finally:
            self.requests.pop(task)

    async def serve_hop(self, route, origin, attempt):
        names = dict(attempt.headers)
        _, service, path = route.path.split('/', 2)
        return await self.serve(
            CallerRequest(
                service=service,
                caller=route.caller,
                kind=KIND_OF[service],
                method=route.method,
                path=f'/{path}',
                headers=attempt.headers,
                body=attempt.body,
                deadline_s=attempt.timeout_s,
                idempotency_key=names.get(b'idempotency-key', b'').decode(),
                hop=origin,
            )
        )


class World:
    """Instances, targets, the network between them, and records of requests.

    ``cuts`` has the pairs of domains (from, to) between which messages are
    lost.
    """

    def __init__(self, per_domain=2, targets=2):
        self.loop = looptime.new_event_loop(start=1000)
        self.topology = topology_of(per_domain, targets)
        self.targets = {
            target.name: FakeTarget(self, target)
            for target in self.topology.targets
        }
        self.nodes = {
            entry.name: Instance(self, entry.name)
            for entry in self.topology.entry_instances()
        }
        self.runs, self.sent, self.cuts = [], [], set()
        self._numbers = itertools.count()

    def now(self):
        return self.loop.time()

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def start(self, configuration=None, warm_s=16):
        """Start all instances and wait until every slow start has ended."""
        self.configuration = configuration or config()

        async def begin():
            for node in self.nodes.values():
                node.start(self.configuration)
            await asyncio.sleep(warm_s)

        self.run(begin())
        return self

    def close(self):
        async def end():
            for node in self.nodes.values():
                if node.up:
                    node.crash()
            await asyncio.sleep(0)
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)

        self.run(end())
        self.loop.close()

    def reaches(self, node, other):
        """Return whether messages of an instance arrive at another one."""
        return other.up and (node.domain, other.domain) not in self.cuts

    def cut(self, *, both=True):
        self.cuts = {('a', 'b'), ('b', 'a')} if both else {('a', 'b')}

    def heal(self):
        self.cuts = set()

    def apply(self, configuration, names):
        for name in names:
            self.nodes[name].in_force.replace_if_newer(configuration)

    async def send(
        self,
        name,
        service='catalogue',
        *,
        caller='c0',
        key='',
        home_domain='',
        deadline_s=2,
        leave_after_s=None,
    ):
        """Send one request to an instance and read the complete answer.

        :param home_domain: home domain of the client; empty for that of the
            instance.
        :param leave_after_s: time after which the caller cancels the request;
            None for never.
        """
        node = self.nodes[name]
        sent = SentRequest(
            f'r{next(self._numbers)}',
            key,
            caller,
            name,
            home_domain or node.domain,
            self.now(),
        )
        self.sent.append(sent)
        if not node.up:
            sent.result = 'unreached'
            return sent
        req = CallerRequest(
            service=service,
            caller=caller,
            kind=KIND_OF[service],
            method='POST',
            path='/x',
            headers=[
                (b'x-id', sent.request.encode()),
                (b'idempotency-key', key.encode()),
                (b'content-length', b'0'),
            ],
            body=_nothing(),
            client_ip=CLIENT[home_domain or node.domain],
            deadline_s=deadline_s,
            idempotency_key=key,
        )
        task = node.spawn(node.serve(req))
        await asyncio.wait([task], timeout=leave_after_s)
        if not task.done():
            task.cancel()
            await asyncio.wait([task])
        sent.ended_at = self.now()
        if task.cancelled():
            sent.result = 'lost'
        elif isinstance(task.result(), Failure):
            refusal = task.result().failure()
            sent.result, sent.reason = str(refusal.ran), str(refusal.reason)
        else:
            answer = task.result().unwrap()
            sent.result, sent.status = 'answered', answer.status
            async for _ in answer.body:
                pass
            answer.abort()
        return sent

    def key(self, key_home, text):
        """Return an idempotency key whose key home is a running instance."""
        return f'{self.nodes[key_home].entry.key_store.current_ticket()}.{text}'

    def owner_of(self, target):
        """Return the name of the instance that dispatches to a target."""
        return next(
            node.name
            for node in self.nodes.values()
            if node.up and node.entry.ownership.owns(target)
        )

    async def load(self, names, seconds, per_s, **options):
        """Send requests at a steady rate to instances in turn."""
        tasks = []
        receivers = itertools.cycle(names)
        for _ in range(int(seconds * per_s)):
            tasks.append(
                asyncio.ensure_future(self.send(next(receivers), **options))
            )
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*tasks)

    def violations(self):
        """Return the broken invariants that the targets' records show."""
        found = [
            f'{name} ran {fake.max_running} at once'
            for name, fake in self.targets.items()
            if fake.max_running > SLOTS
        ]
        ran = {run.request for run in self.runs}
        found += [
            f'{sent.request} ran, but got not-run ({sent.reason})'
            for sent in self.sent
            if sent.result == Ran.not_run and sent.request in ran
        ]
        first_run = {run.key: run.started_at for run in reversed(self.runs)}
        found += [
            f'{sent.key} had run, but got not-run ({sent.reason})'
            for sent in self.sent
            if sent.key
            and sent.result == Ran.not_run
            # A refusal may arrive after a resend of its key has begun to run;
            # it was true when the key home decided on it.
            and first_run.get(sent.key, sent.ended_at) < sent.sent_at
        ]
        keys = [run.key for run in self.runs if run.key]
        found += [
            f'{key} ran twice' for key in set(keys) if keys.count(key) > 1
        ]
        return found

    def account_errors(self):
        """Return instances whose accounts differ from their requests.

        The accounts must count each request once and have no open ones.
        """
        found = []
        for name, node in self.nodes.items():
            if not node.up:
                continue
            lines = node.entry.accounts.snapshot().lines
            counted = sum(line.count for line in lines)
            arrived = node.arrived_count
            if (counted, node.entry.accounts.open_request_count()) != (
                arrived,
                0,
            ):
                found.append(f'{name}: {counted} of {arrived}')
        return found


async def _nothing():
    for chunk in ():
        yield chunk
