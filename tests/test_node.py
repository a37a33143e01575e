"""Tests of whole deployments over loopback, with real sockets.

They guard against faults that show only when all instances run together:
requests that run twice or are cut during a stop, and changes or idempotency
keys that some instances ignore.
"""

import asyncio
import contextlib

import httpx
import msgspec
import pytest

from cuminhoist.config_model import Accepted, Change, Drain
from cuminhoist.node import Node
from cuminhoist.settings import Settings
from cuminhoist.types import DrainScope
from demo.audit import RunRecord, violations
from demo.callers import Caller, Request, next_id
from demo.deployment import DeploymentConfig, LocalDeployment, address_of
from demo.traffic import Mix, Traffic

DEADLINE_MS = 700


@contextlib.asynccontextmanager
async def running_deployment(tmp_path, name='porth-data'):
    config = DeploymentConfig.from_example(name).with_deadline(DEADLINE_MS)
    deployment = LocalDeployment(config, tmp_path)
    await deployment.start()
    addresses = tuple(
        address_of(entry) for entry in deployment.topology.entry_instances()
    )
    caller = Caller(addresses, seed=1)
    try:
        yield deployment, caller
    finally:
        await caller.close()
        await deployment.stop()


def build_request(deployment, kind_name, **changes):
    service = next(
        service
        for service in deployment.topology.services
        if service.kind(kind_name)
    )
    fields = {
        'request_id': next_id(),
        'caller': deployment.plans.callers[0].name,
        'service': service.name,
        'kind': service.kind(kind_name),
        'deadline_ms': DEADLINE_MS,
        **changes,
    }
    return Request(**fields)


@pytest.mark.parametrize('name', ['porth-data', 'paora-whitcombe'])
async def test_crash_stop_and_drain_neither_repeat_nor_cut_requests(
    tmp_path, name
):
    """Guards against double runs, wrong refusals and cut requests.

    Requests of all kinds are sent while an upstream is drained, one instance
    crashes and another one stops gracefully.
    """
    async with running_deployment(tmp_path, name) as (deployment, caller):
        mix = Mix.from_lists(
            deployment.topology, deployment.plans, deployment.allowances
        )
        traffic = Traffic(deployment.topology, mix, caller, 25, seed=3)
        entries = deployment.topology.entry_instances()
        drain = Drain(
            scope=DrainScope.upstream,
            name=deployment.topology.targets[0].name,
        )

        async def inject_faults():
            await deployment.apply(Change.from_drain('drain', drain))
            await deployment.kill(entries[-1].name)
            count_before_stop = len(traffic.outcomes)
            await deployment.nodes.pop(entries[1].name).stop()
            return traffic.outcomes[count_before_stop:]

        during_stop, _ = await asyncio.gather(inject_faults(), traffic.run(6))
        run_record = RunRecord.from_run(traffic.outcomes, deployment.upstreams)
        assert violations(deployment.topology, run_record) == []
        cut = [
            outcome
            for outcome in during_stop
            if outcome.result == 'lost' and outcome.ran == 'unknown'
        ]
        assert cut == []


async def test_change_in_force_decides_the_next_request(tmp_path):
    """Guards against a version that is reported as in force but not used."""
    async with running_deployment(tmp_path) as (deployment, caller):
        plans_without_caller = msgspec.structs.replace(
            deployment.plans,
            callers=deployment.plans.callers[1:],
        )
        change_outcome = await deployment.apply(
            Change(
                change_id='fewer', base_version=1, plans=plans_without_caller
            ),
        )
        assert isinstance(change_outcome, Accepted)
        assert await deployment.wait_in_force(change_outcome.version, 5) == []
        outcome = await caller.send(build_request(deployment, 'browse'))
        assert (outcome.reason, outcome.ran) == ('unknown-caller', 'not-run')


async def test_resend_through_another_instance_gets_the_first_answer(tmp_path):
    """Guards against a second run when a resend takes another instance."""
    async with running_deployment(tmp_path) as (deployment, caller):
        req = build_request(deployment, 'publish', body_bytes=100)
        await caller.send(req)
        entries = deployment.topology.entry_instances()
        key_home = deployment.nodes[entries[0].name]
        ticket = key_home.entry.key_store.current_ticket()
        answers = []
        async with httpx.AsyncClient(trust_env=False) as http:
            for entry in entries[:4]:
                answer = await http.post(
                    f'{address_of(entry)}/v1/services/publisher/publish',
                    params={'id': 'once'},
                    headers={
                        'x-cuminhoist-caller': req.caller,
                        'x-cuminhoist-kind': 'publish',
                        'idempotency-key': f'{ticket}.once',
                    },
                    content=b'x' * 100,
                )
                answers.append(answer)
        assert {answer.status_code for answer in answers} == {200}
        assert len({answer.content for answer in answers}) == 1
        runs = [
            record
            for record in deployment.upstreams.served()
            if record.request_id == 'once'
        ]
        assert len(runs) == 1


def test_stop_waits_for_the_longest_deadline(tmp_path):
    """Guards against a stop that cuts requests before their deadlines.

    Topologies may allow deadlines of ten minutes.
    """
    deadline_s = 600
    config = DeploymentConfig.from_example('porth-data').with_deadline(
        deadline_s * 1000
    )
    topology = config.topology
    cfg = Settings.from_instance(
        topology.entry_instances()[0], 'topology.json', 'key', str(tmp_path)
    )
    assert Node(cfg, topology)._server.drain_timeout_s > deadline_s
