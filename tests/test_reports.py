"""Tests of reports over instances, restarts and silent instances."""

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


def closed(accounts, outcome, times, reason=''):
    for _ in range(times):
        accounts.open_request('c0', 'catalogue', 'browse', 2).record_outcome(
            outcome, reason
        )


def test_restart_and_copies_count_once():
    """Guards against reports that lose a life or count it twice."""
    clock, ledger = ManualClock(), AccountLedger()
    first, second = accounts_of('e1', '1', clock), accounts_of('e2', '1', clock)
    early = first.snapshot()
    clock.advance(10)
    closed(first, Outcome.answered, 5)
    closed(first, Outcome.refused, 2, 'rate-exceeded')
    closed(second, Outcome.failed, 3)
    closed(second, Outcome.refused, 1, 'no-slot')
    first.open_request('c0', 'catalogue', 'browse')
    second.open_request('c0', 'catalogue', 'browse')
    late = first.snapshot()
    reborn = accounts_of('e1', '2', clock)
    closed(reborn, Outcome.answered, 4)
    closed(reborn, Outcome.unknown, 1, 'target-lost')
    closed(reborn, Outcome.cancelled, 1, 'cancelled')
    heard = [late, reborn.snapshot(), second.snapshot(), early, late]
    ledger.mark_answered('e1', '2')
    ledger.mark_answered('e2', '1')
    for _ in range(2):
        ledger.merge(heard)
        heard.reverse()
    (row,) = [
        one
        for one in build_report(ledger, ENTITLED, ()).rows
        if (one.caller, one.service) == ('c0', 'catalogue')
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
    """Guards against memory that grows with restarts, and silent loss."""
    clock, ledger = ManualClock(), AccountLedger(max_ended=2)
    lives = [accounts_of('e1', str(at), clock) for at in range(5)]
    for at, life in enumerate(lives):
        closed(life, Outcome.answered, 1)
        ledger.mark_answered('e1', str(at))
        ledger.merge([life.snapshot()])
    ledger.merge([lives[0].snapshot()])
    report = build_report(ledger, ENTITLED, ())
    assert sum(line.count for line in report.lines) == 3
    assert report.dropped_lives == 2


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_cell_keeps_what_a_crash_would_lose():
    """Guards against accounts that only the crashed process had.

    The instance crashes after its peer has asked it, then restarts; an
    instance of another failure domain that never heard of the first life
    reports both.
    """
    apps = ControlApps(per_domain=3)
    crashed = apps.accounts['dom-01-01']
    peer = apps.controls['dom-01-02'].instance_querier
    control = apps.controls['dom-00-00']
    exchange = asyncio.create_task(peer.run_account_sync())
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
    exchange.cancel()


def _figures(report):
    return [(row.served, row.open, row.lost) for row in report.rows]


@pytest.mark.asyncio
@pytest.mark.looptime
async def test_caller_sees_what_operators_see():
    """Guards against two truths, and against callers that see others."""
    apps = ControlApps()
    await apps.cluster.logs['dom-00-00'].submit(plans_change('c1', 0))
    client = apps.client('dom-01-01')
    whole = (await client.read('/v1/report', Report)).unwrap()
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
    assert own == whole.for_caller('acme')
    assert [row.served for row in own.rows] == [12]
