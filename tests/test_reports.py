"""Tests of reports on the requests of all instances.

They guard against accounts that are lost or counted twice when instances
restart, crash or do not reply.
"""

import asyncio

import httpx
import msgspec
import pytest

from cuminhoist.account_records import Outcome
from cuminhoist.clock import ManualClock
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.entitlements import Entitlements
from cuminhoist.instance_queries import ACCOUNT_SYNC_INTERVAL_S
from cuminhoist.ledger import AccountLedger
from cuminhoist.reports import Report, build_report
from cuminhoist.request_accounts import RequestAccounts

from .builders import example_topology, plans_change
from .builders_admission import config_of
from .controlapps import ControlApps

CONFIG = config_of(1, 90, 2, (1, 1))
ENTITLED = Entitlements.from_config(CONFIG)


def accounts_of(instance, incarnation, clock):
    in_force = ConfigInForce()
    in_force.replace_if_newer(CONFIG)
    return RequestAccounts(
        clock, example_topology(), in_force, instance, incarnation
    )


def close_requests(accounts, outcome, times, reason=''):
    for _ in range(times):
        accounts.open_request('c0', 'catalogue', 'browse', 2).record_outcome(
            outcome, reason
        )


def test_restart_and_copies_count_once():
    """Guards against reports that lose an incarnation or count it twice."""
    clock, ledger = ManualClock(), AccountLedger()
    e1_accounts, e2_accounts = (
        accounts_of('e1', '1', clock),
        accounts_of('e2', '1', clock),
    )
    early_snapshot = e1_accounts.snapshot()
    clock.advance(10)
    close_requests(e1_accounts, Outcome.answered, 5)
    close_requests(e1_accounts, Outcome.refused, 2, 'rate-exceeded')
    close_requests(e2_accounts, Outcome.failed, 3)
    close_requests(e2_accounts, Outcome.refused, 1, 'no-slot')
    e1_accounts.open_request('c0', 'catalogue', 'browse')
    e2_accounts.open_request('c0', 'catalogue', 'browse')
    late_snapshot = e1_accounts.snapshot()
    restarted_e1_accounts = accounts_of('e1', '2', clock)
    close_requests(restarted_e1_accounts, Outcome.answered, 4)
    close_requests(restarted_e1_accounts, Outcome.unknown, 1, 'target-lost')
    close_requests(restarted_e1_accounts, Outcome.cancelled, 1, 'cancelled')
    snapshots = [
        late_snapshot,
        restarted_e1_accounts.snapshot(),
        e2_accounts.snapshot(),
        early_snapshot,
        late_snapshot,
    ]
    ledger.mark_replied('e1', '2')
    ledger.mark_replied('e2', '1')
    for _ in range(2):
        ledger.merge(snapshots)
        snapshots.reverse()
    (row,) = [
        row
        for row in build_report(ledger, ENTITLED, ()).rows
        if (row.caller, row.service) == ('c0', 'catalogue')
    ]
    assert msgspec.structs.asdict(row) == {
        'caller': 'c0',
        'service': 'catalogue',
        'rate_per_s': 90,
        'promised_weight': pytest.approx(
            2 * 900 / len(example_topology().entry_instances())
        ),
        'served': 9,
        'served_weight': 18,
        'failed': 3,
        'unknown': 1,
        'cancelled': 1,
        'refused': {'rate-exceeded': 2, 'no-slot': 1},
        'open': 1,
        'lost': 1,
    }


def test_ended_lives_are_bounded():
    """Guards against memory that grows with each restart.

    The report must tell how many incarnations were dropped.
    """
    clock, ledger = ManualClock(), AccountLedger(max_ended=2)
    incarnations = [accounts_of('e1', str(index), clock) for index in range(5)]
    for index, accounts in enumerate(incarnations):
        close_requests(accounts, Outcome.answered, 1)
        ledger.mark_replied('e1', str(index))
        ledger.merge([accounts.snapshot()])
    ledger.merge([incarnations[0].snapshot()])
    report = build_report(ledger, ENTITLED, ())
    assert sum(line.count for line in report.lines) == 3
    assert report.dropped_lives == 2


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_cell_keeps_what_a_crash_would_lose():
    """Guards against accounts that are lost with a crashed process.

    The instance crashes after a domain peer has queried its accounts, and then
    restarts. An instance of another failure domain that never queried the first
    incarnation reports both.
    """
    apps = ControlApps(per_domain=3)
    crashed = apps.accounts['dom-01-01']
    peer = apps.controls['dom-01-02'].instance_querier
    control = apps.controls['dom-00-00']
    account_sync = asyncio.create_task(peer.run_account_sync())
    await asyncio.sleep(0.9 * ACCOUNT_SYNC_INTERVAL_S)
    crashed.count = 4
    await asyncio.sleep(0.2 * ACCOUNT_SYNC_INTERVAL_S)
    crashed.count = 100
    transport = apps.net.transports.pop('dom-01-01')
    await asyncio.sleep(ACCOUNT_SYNC_INTERVAL_S)
    for _ in range(2):
        report = await control.report()
        assert report.silent == ('dom-01-01',)
        assert _figures(report) == [(5 * 3 + 4, 5, 1)]
    apps.net.transports['dom-01-01'] = transport
    crashed.incarnation, crashed.count = 'i2', 7
    for _ in range(3):
        report = await control.report()
        assert report.silent == ()
        assert _figures(report) == [(5 * 3 + 4 + 7, 6, 1)]
    account_sync.cancel()


def _figures(report):
    return [(row.served, row.open, row.lost) for row in report.rows]


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_caller_sees_what_operators_see():
    """Guards against reports that differ between callers and operators.

    Nor may a caller read the report of another caller.
    """
    apps = ControlApps()
    await apps.cluster.logs['dom-00-00'].submit(plans_change('c1', 0))
    client = apps.client('dom-01-01')
    full_report = (await client.read('/v1/report', Report)).unwrap()
    transport = httpx.ASGITransport(apps.apps['dom-01-01'])
    async with httpx.AsyncClient(transport=transport) as http:
        path = f'{apps.url("dom-01-01")}/v1/callers/acme/report'
        replies = [
            await http.get(path, headers={'x-cuminhoist-caller': name})
            for name in ('acme', 'other')
        ]
        unknown = await http.get(
            f'{apps.url("dom-01-01")}/v1/callers/(other)/report',
            headers={'x-cuminhoist-caller': '(other)'},
        )
    assert [reply.status_code for reply in replies] == [200, 403]
    assert unknown.status_code == 404
    own = msgspec.json.decode(replies[0].content, type=Report)
    assert own == full_report.for_caller('acme')
    assert [row.served for row in own.rows] == [12]
