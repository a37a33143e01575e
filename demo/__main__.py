"""Runs a deployment through a change, a drain, a crash and a planned stop.

Open-loop traffic runs during each phase. At the end, the outcomes that the
callers got are checked against the requests that the targets recorded.
"""

import asyncio
import collections
import pathlib
import sys
import tempfile
from collections.abc import Coroutine

import fire
import msgspec
from rich.console import Console
from rich.table import Table

from cuminhoist.config_model import Accepted, Caller, Change, Drain
from cuminhoist.logging_setup import configure_logs
from cuminhoist.settings import LogSettings
from cuminhoist.types import CallerName, DrainScope

from . import callers, deployment
from .audit import RunRecord, violations
from .traffic import Mix, Traffic

#: Time limit for a change to be in force on all instances.
CHANGE_TIMEOUT_S = 2.0
#: Time after a drain order in which its target may still get requests.
DRAIN_GRACE_S = 3.0
#: Duration of the traffic of one phase; longer than the grace of a drain.
PHASE_S = 4.0
NEW_CALLER = CallerName('new-customer')


class DemoReport(msgspec.Struct, kw_only=True):
    """Counts of requests by outcome, and the guarantees that were violated."""

    deployment: str
    requests: int = 0
    answered: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    refusals: dict[str, int] = {}
    violations: list[str] = []


class Demo:
    """One run of the demonstration.

    :param local: the deployment to run.
    :param rate_per_s: mean arrival rate of requests.
    :param seed: seed of the random choices.
    """

    def __init__(
        self,
        local: deployment.LocalDeployment,
        rate_per_s: float,
        seed: int,
    ) -> None:
        self._local = local
        addresses = tuple(
            deployment.address_of(entry)
            for entry in local.topology.entry_instances()
        )
        self._caller = callers.Caller(addresses, seed)
        mix = Mix.from_lists(local.topology, local.plans, local.allowances)
        self.traffic = Traffic(
            local.topology,
            mix,
            self._caller,
            rate_per_s,
            seed,
        )
        self.violations: list[str] = []
        self._console = Console(stderr=True)

    async def run(self) -> None:
        """Run the phases in order, then close the caller."""
        try:
            await self._run_phases()
        finally:
            await self._caller.close()

    async def _run_phases(self) -> None:
        await self._phase('baseline', asyncio.sleep(0))
        await self._phase('change of the plans', self._change_plans())
        await self._phase('drain of an upstream', self._drain_upstream())
        await self._phase('crash of an instance', self._crash())
        await self._phase('planned stop of an instance', self._planned_stop())

    async def _phase(
        self, title: str, action: Coroutine[None, None, None]
    ) -> None:
        self._console.print(f'{title} ...')
        async with asyncio.TaskGroup() as group:
            group.create_task(self.traffic.run(PHASE_S))
            group.create_task(action)

    async def _change_plans(self) -> None:
        plans = self._local.plans
        extended = msgspec.structs.replace(
            plans,
            callers=(
                *plans.callers,
                Caller(name=NEW_CALLER, plan=plans.plans[0].name),
            ),
        )
        outcome = await self._local.apply(
            Change(change_id='demo-grow', base_version=1, plans=extended),
        )
        if not isinstance(outcome, Accepted):
            self.violations.append(
                f'the change of the plans was not accepted: {outcome}'
            )
            return
        outdated = await self._local.wait_in_force(
            outcome.version,
            CHANGE_TIMEOUT_S,
        )
        self.violations.extend(
            f'{name} did not have the change in force in time'
            for name in outdated
        )
        await self._check_in_force()

    async def _check_in_force(self) -> None:
        # The version alone doesn't show that decisions use the new plans, so
        # this sends a request of the new caller.
        service = self._local.topology.services[0]
        req = callers.Request(
            request_id=callers.next_id(),
            caller=NEW_CALLER,
            service=service.name,
            kind=service.kinds[0],
        )
        outcome = await self._caller.send(req)
        self.traffic.outcomes.append(outcome)
        if outcome.reason == 'unknown-caller':
            self.violations.append(
                f'{outcome.entry} does not know the new caller'
            )

    async def _drain_upstream(self) -> None:
        target = self._local.topology.targets[0]
        drain = Drain(scope=DrainScope.upstream, name=target.name)
        await self._local.apply(Change.from_drain('demo-drain', drain))
        await asyncio.sleep(DRAIN_GRACE_S)
        state = self._local.upstreams.by_port[target.port]
        before = len(state.served) + state.in_flight
        await asyncio.sleep(PHASE_S - DRAIN_GRACE_S)
        after = len(state.served) + state.in_flight
        if after > before:
            self.violations.append(
                f'{target.name} got requests after its drain'
            )

    async def _crash(self) -> None:
        victim = self._local.topology.entry_instances()[-1]
        await self._local.kill(victim.name)

    async def _planned_stop(self) -> None:
        victim = self._local.topology.entry_instances()[1]
        sent_before = len(self.traffic.outcomes)
        await self._local.nodes.pop(victim.name).stop()
        self.violations.extend(
            f'the stop of {victim.name} left request '
            f'{outcome.request.request_id} without an answer'
            for outcome in self.traffic.outcomes[sent_before:]
            if outcome.result == 'lost' and outcome.ran == 'unknown'
        )


def _print_table(demo: Demo) -> None:
    table = Table(title='Requests by kind')
    for column in ('service', 'kind', 'answered', 'refused', 'failed', 'lost'):
        table.add_column(column)
    counts: dict[tuple[str, str], dict[str, int]] = {}
    for outcome in demo.traffic.outcomes:
        request_kind = (outcome.request.service, outcome.request.kind.name)
        row = counts.setdefault(request_kind, {})
        row[outcome.result] = row.get(outcome.result, 0) + 1
    for (service, kind), row in sorted(counts.items()):
        cells = [
            str(row.get(result, 0))
            for result in ('answered', 'refused', 'failed', 'lost')
        ]
        table.add_row(service, kind, *cells)
    Console().print(table)


async def _run(name: str, rate_per_s: float, seed: int) -> DemoReport:
    with tempfile.TemporaryDirectory() as folder:
        local = deployment.LocalDeployment(
            deployment.DeploymentConfig.from_example(name),
            pathlib.Path(folder),
        )
        try:
            await local.start()
            demo = Demo(local, rate_per_s, seed)
            await demo.run()
        finally:
            await local.stop()
    run_record = RunRecord.from_run(demo.traffic.outcomes, local.upstreams)
    _print_table(demo)
    endings = [outcome.result for outcome in run_record.outcomes]
    return DemoReport(
        deployment=name,
        requests=len(endings),
        answered=endings.count('answered'),
        refused=endings.count('refused'),
        failed=endings.count('failed'),
        lost=endings.count('lost'),
        refusals=collections.Counter(
            outcome.reason
            for outcome in run_record.outcomes
            if outcome.result == 'refused'
        ),
        violations=[*demo.violations, *violations(local.topology, run_record)],
    )


def main(
    deployment: str = 'porth-data',
    rate_per_s: float = 60,
    seed: int = 1,
) -> None:
    """Run the demonstration; the last line is a JSON report.

    :param deployment: name of the example's folder.
    :param rate_per_s: mean arrival rate of requests.
    :param seed: seed of the random choices.
    """
    configure_logs(LogSettings(level='WARNING'))
    report = asyncio.run(_run(deployment, rate_per_s, seed))
    print(msgspec.json.encode(report).decode())
    sys.exit(1 if report.violations else 0)


if __name__ == '__main__':
    fire.Fire(main)
