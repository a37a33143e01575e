"""Tests of the command-line tool against in-process instances.

The tests guard against a tool that reports a success although nothing
changed, or that applies a change twice after a lost answer.
"""

import json

import fire
import httpx
import msgspec
import pytest
from returns.result import Success

from cuminhoist import cli, commands, queries
from cuminhoist.cli import Cli
from cuminhoist.config_model import Accepted, Configuration, Drain

from . import builders
from .controlapps import ControlApps

ENTRY, LEADER = 'dom-00-01', 'dom-00-00'


@pytest.fixture
def apps(monkeypatch):
    control_apps = ControlApps()
    monkeypatch.setattr(
        cli.OperatorClient,
        'from_url',
        classmethod(
            lambda _cls, _url, token: control_apps.client(ENTRY, token=token)
        ),
    )
    return control_apps


@pytest.fixture
def lists(tmp_path):
    plans = tmp_path / 'plans.json'
    plans.write_bytes(msgspec.json.encode(builders.small_plans()))
    allowances = tmp_path / 'allowances.json'
    allowances.write_bytes(msgspec.json.encode(builders.small_allowances()))
    return [f'--plans={plans}', f'--allowances={allowances}']


def _run_command(capsys, *arguments):
    status = 0
    try:
        fire.Fire(
            Cli, command=[*arguments, '--url=http://x'], name='cuminhoist'
        )
    except SystemExit as exc:
        status = int(exc.code)
    captured = capsys.readouterr()
    return status, captured.out + captured.err


def test_apply_show_and_diff(apps, lists, capsys):
    """Guards against a reported change that was not made."""
    status, text = _run_command(capsys, 'diff', *lists)
    assert status == 0
    assert 'acme' in text
    status, text = _run_command(capsys, 'apply', '--wait', '--json', *lists)
    assert status == 0
    answer = json.loads(text)
    assert [result['part'] for result in answer['decisions']] == [
        'plans',
        'allowances',
    ]
    assert (answer['version'], answer['behind'], answer['silent']) == (
        2,
        [],
        [],
    )
    assert _run_command(capsys, 'diff', *lists) == (0, 'No differences.\n')
    assert _run_command(capsys, 'apply', *lists) == (0, 'Nothing to change.\n')
    assert len(apps.cluster.logs[LEADER].submitted) == 2
    status, text = _run_command(capsys, 'show')
    assert (status, 'acme' in text) == (0, True)


def test_drain_undrain_status_and_report(apps, capsys):
    """Guards against a drain that is reported but not in force."""
    assert _run_command(capsys, 'drain', 'domain', 'dom-01')[0] == 0
    assert apps.cluster.state.config.drains == (
        Drain(scope='domain', name='dom-01'),
    )
    status, text = _run_command(capsys, 'status')
    assert (status, 'dom-01' in text) == (0, True)
    assert _run_command(capsys, 'undrain', 'domain', 'dom-01')[0] == 0
    assert apps.cluster.state.config.drains == ()
    status, text = _run_command(capsys, 'report', '--json')
    assert json.loads(text)['lines'][0]['count'] == 12


def test_status_shows_tasks_that_are_down(apps, capsys):
    """Guards against an instance that looks sound without one of its tasks."""
    assert 'tasks down' not in _run_command(capsys, 'status')[1]
    for control in apps.controls.values():
        control._dependencies = msgspec.structs.replace(
            control._dependencies, tasks_down=lambda: ('probes', 'grants')
        )
    assert 'tasks down: probes, grants' in _run_command(capsys, 'status')[1]


@pytest.mark.parametrize(
    ('arguments', 'message'),
    [
        (['drain', 'moon', 'x'], 'allowed: upstream, domain, region, entry'),
        (['drain', 'region', 'mars'], 'allowed: reg-0'),
        (['apply'], 'name --plans or --allowances'),
        (['apply', '--plans=/nope.json'], '/nope.json'),
        (['check'], 'name at least one file'),
        (['init'], 'no control role'),
        (['lookup', 'catalogue', 'acme'], '404'),
        (['explain', 'acme', 'catalogue', 'browse'], '404'),
    ],
)
def test_failures_exit_with_status_1_and_a_message(
    apps, capsys, arguments, message
):
    """Guards against a failed command that scripts take for a success."""
    status, text = _run_command(capsys, *arguments)
    assert status == 1
    assert message in text


def test_check_names_file_and_field(capsys, tmp_path):
    """Guards against an error without the place in the file."""
    path = tmp_path / 'plans.json'
    path.write_text('{"callers": [{"name": "a", "plan": "tin"}]}')
    status, text = _run_command(capsys, 'check', f'--plans={path}')
    assert status == 1
    assert text.startswith(f'{path}: callers[0].plan: unknown')


def test_token_is_sent(monkeypatch, capsys):
    """Guards against requests without the operator token."""
    control_apps = ControlApps(operator_token='secret')
    monkeypatch.setattr(
        cli.OperatorClient,
        'from_url',
        classmethod(
            lambda _cls, _url, token: control_apps.client(ENTRY, token=token)
        ),
    )
    assert _run_command(capsys, 'show')[0] == 1
    assert _run_command(capsys, 'show', '--token=secret')[0] == 0


class LossyTransport(httpx.AsyncBaseTransport):
    """Loses the answers to the first POST requests.

    :param losses: one item per answer to lose.
    """

    def __init__(self, inner, losses):
        self._inner = inner
        self._losses = losses

    async def handle_async_request(self, request):
        answer = await self._inner.handle_async_request(request)
        if request.method == 'POST' and self._losses:
            self._losses.pop()
            raise httpx.ReadTimeout('lost', request=request)
        return answer


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_resend_after_a_lost_answer_keeps_the_change_id():
    """Guards against a resent change that is applied twice."""
    apps = ControlApps()
    losses = [1, 2, 3]
    client = apps.client(LEADER, lambda inner: LossyTransport(inner, losses))
    output = await commands.drain(client, Drain(scope='domain', name='dom-01'))
    assert output.ok, output.lines
    assert not losses
    change_ids = [
        change.change_id
        for log in apps.cluster.logs.values()
        for change in log.submitted
    ]
    assert len(change_ids) >= 2
    assert len(set(change_ids)) == 1
    assert apps.cluster.state.config.version == 1


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_no_leader_ends_in_a_failure():
    """Guards against a tool that waits for a decision for ever."""
    apps = ControlApps()
    apps.cluster.leader = ''
    client = apps.client(ENTRY)
    output = await commands.drain(client, Drain(scope='domain', name='dom-01'))
    assert not output.ok
    assert 'no decision' in output.lines[0]


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_wait_names_behind_and_silent_instances():
    """Guards against a success while an instance is behind or silent."""
    apps = ControlApps()
    apps.net.transports.pop('dom-01-01')
    apps.cluster.logs['dom-01-00'].isolate()
    client = apps.client(ENTRY)
    drain = Drain(scope='domain', name='dom-01')
    output = await commands.drain(client, drain, wait_s=2)
    assert not output.ok
    assert output.content['behind'] == ['dom-01-00']
    assert output.content['silent'] == ['dom-01-01']
    status = await queries.status(client)
    assert not status.ok


class RecordingClient:
    """Answers reads with one configuration and records changes."""

    def __init__(self, version):
        self.version, self.changes = version, []

    async def read(self, path, answer_type, query=None):
        return Success(Configuration(version=self.version))

    async def submit(self, change):
        self.changes.append(change)
        return Success(Accepted(version=self.version + 1))


async def test_drains_carry_the_version_that_was_read():
    """Guards against new drains that are rejected as expired resends.

    Control forgets old change ids; without a base version it could not tell a
    new drain from a resend whose id it has forgotten.
    """
    client = RecordingClient(version=7)
    drain = Drain(scope='domain', name='dom-01')
    await commands.drain(client, drain)
    await commands.undrain(client, drain)
    assert [change.base_version for change in client.changes] == [7, 7]
