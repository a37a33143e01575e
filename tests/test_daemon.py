"""Tests of whole instances over loopback HTTP."""

import asyncio

import httpx
import msgspec
import pytest

from cuminhoist.daemon import Node
from cuminhoist.lists import Change, Drain
from cuminhoist.types import DrainScope
from demo.standins import StandinUpstreams

from . import builders


@pytest.mark.asyncio
async def test_whole_path():
    """Guards against a break anywhere between look-up and target."""
    topology = builders.on_free_ports(builders.example_topology())
    upstreams = StandinUpstreams(topology.targets)
    await upstreams.start()
    names = [entry.name for entry in topology.instances]
    first = topology.controls()[0]
    topology = msgspec.structs.replace(
        topology,
        instances=tuple(
            entry
            if entry.name == first.name
            else msgspec.structs.replace(entry, roles=('entry',))
            for entry in topology.instances
        ),
    )
    nodes = [
        Node(builders.settings_of(topology, name), topology) for name in names
    ]
    for node in nodes:
        await node.start()
    base = f'http://{first.host}:{first.http_port}'
    async with httpx.AsyncClient(trust_env=False) as http:
        changes = [
            Change(change_id='p1', plans=builders.example_plans()),
            Change(change_id='a1', allowances=builders.example_allowances()),
            Change.from_drain(
                'd1',
                Drain(scope=DrainScope.upstream, name='catalogue-01'),
            ),
        ]
        for change in changes:
            reply = await http.post(
                f'{base}/v1/control/changes',
                content=msgspec.json.encode(change),
                headers={'content-type': 'application/json'},
            )
            assert reply.json()['type'] == 'accepted'
        while any(node.in_force.version < 3 for node in nodes):
            await asyncio.sleep(0.02)
        found = await http.get(
            f'{base}/v1/lookup',
            params={'service': 'catalogue', 'caller': 'sir-alwen'},
        )
        entry = found.json()['entries'][0]['address']
        for _ in range(10):
            answer = await http.get(
                f'{entry}/v1/services/catalogue/datasets?page=2',
                headers={
                    'x-cuminhoist-caller': 'sir-alwen',
                    'x-cuminhoist-kind': 'browse',
                },
            )
            assert answer.status_code == 200, answer.text
        refused = await http.get(
            f'{entry}/v1/services/catalogue/datasets',
            headers={'x-cuminhoist-caller': 'nobody'},
        )
        assert refused.json()['ran'] == 'not-run'
    for node in nodes:
        await node.stop()
    await upstreams.stop()
    served = upstreams.served()
    assert len(served) == 10
    assert 'catalogue-01' not in {record.target for record in served}
