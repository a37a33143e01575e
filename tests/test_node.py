"""Tests of whole deployments over loopback."""

import asyncio
import contextlib

import httpx
import msgspec
import pytest

from cuminhoist.config_model import Accepted, Change, Drain
from cuminhoist.types import DrainScope
from demo.audit import RunRecord, violations
from demo.callers import Caller, Request, next_id
from demo.deployment import DeploymentConfig, LocalDeployment, address_of
from demo.traffic import Mix, Traffic

DEADLINE_MS = 700


@contextlib.asynccontextmanager
async def running(tmp_path, name='porth-data'):
    lists = DeploymentConfig.from_example(name).with_deadline(DEADLINE_MS)
    local = LocalDeployment(lists, tmp_path)
    await local.start()
    addresses = tuple(
        address_of(entry) for entry in local.topology.entry_instances()
    )
    caller = Caller(addresses, seed=1)
    try:
        yield local, caller
    finally:
        await caller.close()
        await local.stop()


def request_of(local, kind_name, **changes):
    service = next(
        service
        for service in local.topology.services
        if service.kind(kind_name)
    )
    fields = {
        'request_id': next_id(),
        'caller': local.plans.callers[0].name,
        'service': service.name,
        'kind': service.kind(kind_name),
        'deadline_ms': DEADLINE_MS,
        **changes,
    }
    return Request(**fields)


@pytest.mark.parametrize('name', ['porth-data', 'paora-whitcombe'])
async def test_crash_and_planned_stop_break_no_promise(tmp_path, name):
    """Guards against double runs, false refusals and cut requests.

    All kinds of requests run while one instance crashes, another one stops
    as planned and an upstream is drained.
    """
    async with running(tmp_path, name) as (local, caller):
        mix = Mix.from_lists(local.topology, local.plans, local.allowances)
        traffic = Traffic(local.topology, mix, caller, 25, seed=3)
        entries = local.topology.entry_instances()
        drain = Drain(
            scope=DrainScope.upstream,
            name=local.topology.targets[0].name,
        )

        async def disturb():
            await local.apply(Change.from_drain('drain', drain))
            await local.kill(entries[-1].name)
            before = len(traffic.outcomes)
            await local.nodes.pop(entries[1].name).stop()
            return traffic.outcomes[before:]

        during_stop, _ = await asyncio.gather(disturb(), traffic.run(6))
        evidence = RunRecord.from_run(traffic.outcomes, local.upstreams)
        assert violations(local.topology, evidence) == []
        cut = [
            outcome
            for outcome in during_stop
            if outcome.result == 'lost' and outcome.ran == 'unknown'
        ]
        assert cut == []


async def test_change_is_used_by_the_next_decision(tmp_path):
    """Guards against a version that is reported but not used."""
    async with running(tmp_path) as (local, caller):
        fewer = msgspec.structs.replace(
            local.plans,
            callers=local.plans.callers[1:],
        )
        outcome = await local.apply(
            Change(change_id='fewer', base_version=1, plans=fewer),
        )
        assert isinstance(outcome, Accepted)
        assert await local.wait_in_force(outcome.version, 5) == []
        sent = await caller.send(request_of(local, 'browse'))
        assert (sent.reason, sent.ran) == ('unknown-caller', 'not-run')


async def test_resend_through_another_instance_gets_the_first_answer(tmp_path):
    """Guards against a second run of a request that may not be repeated."""
    async with running(tmp_path) as (local, caller):
        req = request_of(local, 'publish', body_bytes=100)
        await caller.send(req)
        entries = local.topology.entry_instances()
        home = local.nodes[entries[0].name]
        ticket = home.entry.key_store.current_ticket()
        replies = []
        async with httpx.AsyncClient(trust_env=False) as http:
            for entry in entries[:4]:
                reply = await http.post(
                    f'{address_of(entry)}/v1/services/publisher/publish',
                    params={'id': 'once'},
                    headers={
                        'x-cuminhoist-caller': req.caller,
                        'x-cuminhoist-kind': 'publish',
                        'idempotency-key': f'{ticket}.once',
                    },
                    content=b'x' * 100,
                )
                replies.append(reply)
        assert {reply.status_code for reply in replies} == {200}
        assert len({reply.content for reply in replies}) == 1
        runs = [
            record
            for record in local.upstreams.served()
            if record.request_id == 'once'
        ]
        assert len(runs) == 1
