"""Tests of the HTTP interface for operators.

The tests guard against invalid or unauthorised changes that reach the control
log, and against answers that operators misread.
"""

import httpx
import msgspec
import pytest

from cuminhoist.config_model import Change, Drain
from cuminhoist.instance_queries import Instances
from cuminhoist.operator_api import Status
from cuminhoist.reports import Report

from . import builders
from .controlapps import ControlApps

pytestmark = pytest.mark.asyncio
LEADER = 'dom-00-00'


async def _post(apps, name, body, **headers):
    transport = httpx.ASGITransport(apps.apps[name])
    async with httpx.AsyncClient(transport=transport) as http:
        return await http.post(
            f'{apps.url(name)}/v1/control/changes',
            content=body if isinstance(body, bytes) else _encode(body),
            headers=headers,
        )


def _encode(change):
    return msgspec.json.encode(change)


async def test_outcomes_have_distinct_http_statuses():
    """Guards against a client that takes another outcome for accepted."""
    apps = ControlApps()
    change = builders.plans_change('c1', 0)
    for _ in range(2):
        accepted = await _post(apps, LEADER, change)
        assert accepted.status_code == 200
        assert accepted.json() == {'type': 'accepted', 'version': 1}
    conflict = await _post(apps, LEADER, builders.plans_change('c2', 0, 7))
    assert conflict.status_code == 409
    assert conflict.json()['winner_id'] == 'c1'
    follower = await _post(apps, 'dom-01-00', builders.plans_change('c3', 1))
    assert follower.status_code == 503
    assert follower.json()['leader'] == LEADER
    entry = await _post(apps, 'dom-00-01', builders.plans_change('c4', 1))
    assert entry.status_code == 503


@pytest.mark.parametrize(
    ('body', 'field'),
    [
        (b'{', '$'),
        (b'[]', '$'),
        (b'{"change_id": 5}', '$.change_id'),
        (b'{"change_id": "c", "planz": {}}', '$'),
        (
            b'{"change_id":"c","drain":{"scope":"moon","name":"x"}}',
            '$.drain.scope',
        ),
        (b'{"change_id":"c","drain":{"scope":"region","name":"x"}}', 'name'),
        (
            b'{"change_id":"c","plans":{"plans":'
            b'[{"name":"a","weight":1e999}]}}',
            '$.plans.plans[0].weight',
        ),
        (
            b'{"change_id":"c","plans":{"plans":[{"name":"a","weight":-1}]}}',
            'plans[0].weight',
        ),
        (
            b'{"change_id":"c","allowances":{"allowances":[{"plan":"tin",'
            b'"service":"catalogue","rate_per_s":100}]}}',
            'allowances[0].plan',
        ),
    ],
)
async def test_invalid_bodies_never_reach_the_control_log(body, field):
    """Guards against an invalid change in the replicated state."""
    apps = ControlApps()
    await _post(apps, LEADER, builders.plans_change('c1', 0))
    answer = await _post(apps, LEADER, body)
    assert answer.status_code == 422
    assert answer.json()['type'] == 'rejected'
    assert [error['field'] for error in answer.json()['errors']] == [field]
    assert len(apps.cluster.logs[LEADER].submitted) == 1


async def test_body_is_bounded():
    """Guards against a body that fills the memory of an instance."""
    apps = ControlApps()
    answer = await _post(apps, LEADER, b' ' * (8 * 1024 * 1024 + 1))
    assert answer.status_code == 413


@pytest.mark.parametrize(
    ('header', 'status'),
    [
        ('', 401),
        ('Bearer wrong', 401),
        ('Bearer \xe9', 401),
        ('Bearer secret', 200),
    ],
)
async def test_operator_token(header, status):
    """Guards against changes without the operator token."""
    apps = ControlApps(operator_token='secret')
    answer = await _post(
        apps,
        LEADER,
        builders.plans_change('c1', 0),
        authorization=header.encode('latin-1'),
    )
    assert answer.status_code == status


@pytest.mark.looptime
async def test_status_and_instances():
    """Guards against a silent instance that is reported as up to date."""
    apps = ControlApps()
    drain = Drain(scope='domain', name='dom-01')
    await _post(apps, LEADER, builders.plans_change('c1', 0))
    await _post(apps, LEADER, Change.from_drain('c2', drain))
    apps.net.transports.pop('dom-01-01')
    client = apps.client('dom-00-01')
    status = (await client.read('/v1/status', Status)).unwrap()
    assert (status.version, status.drains) == (2, (drain,))
    assert status.control is None
    assert [control.name for control in status.controls] == [
        LEADER,
        'dom-01-00',
    ]
    instances = (await client.read('/v1/control/instances', Instances)).unwrap()
    versions = {
        line.name: line.held and line.held.version
        for line in instances.instances
    }
    assert instances.version == 2
    assert versions == {
        LEADER: 2,
        'dom-00-01': 2,
        'dom-01-00': 2,
        'dom-01-01': None,
    }
    report = (await client.read('/v1/report', Report)).unwrap()
    assert report.silent == ('dom-01-01',)
    assert [(line.count, line.weight) for line in report.lines] == [(9, 13.5)]
