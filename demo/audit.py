"""Compares the outcomes that callers got with the requests that targets ran.

A run violates a guarantee if, for example, a target ran more requests than it
has slots, or a request that must not be repeated ran twice.
"""

import collections
from collections.abc import Iterable, Iterator

import msgspec

from cuminhoist.settings import Topology

from .callers import Outcome
from .standins import RequestRecord, StandinUpstreams


class RunRecord(msgspec.Struct, frozen=True):
    """Outcomes and target records of a run.

    :param outcomes: outcomes of the requests, as the callers got them.
    :param started: requests that the targets started.
    :param served: requests that the targets finished.
    :param most_in_flight: highest number of concurrent requests of each
        target, by its name.
    """

    outcomes: tuple[Outcome, ...]
    started: tuple[RequestRecord, ...]
    served: tuple[RequestRecord, ...]
    most_in_flight: dict[str, int]

    @classmethod
    def from_run(
        cls,
        outcomes: Iterable[Outcome],
        upstreams: StandinUpstreams,
    ) -> 'RunRecord':
        """Collect the outcomes and the records of a run.

        :param outcomes: outcomes of the requests, as the callers got them.
        :param upstreams: the stand-in targets.
        """
        return cls(
            tuple(outcomes),
            tuple(upstreams.started()),
            tuple(upstreams.served()),
            {
                state.target.name: state.most_in_flight
                for state in upstreams.by_port.values()
            },
        )


def violations(topology: Topology, run_record: RunRecord) -> list[str]:
    """Describe every violation of a guarantee, one sentence each.

    :param topology: the deployment.
    :param run_record: outcomes and target records of the run.
    """
    return [
        *_slot_violations(topology, run_record),
        *_repeated_runs(topology, run_record),
        *_runs_reported_as_not_run(run_record),
        *_answer_violations(run_record),
        *_unanswered_kinds(topology, run_record),
    ]


def _slot_violations(
    topology: Topology, run_record: RunRecord
) -> Iterator[str]:
    for target in topology.targets:
        most = run_record.most_in_flight[target.name]
        if most > target.slots:
            yield f'{target.name} ran {most} requests on {target.slots} slots'


def _repeated_runs(topology: Topology, run_record: RunRecord) -> Iterator[str]:
    unrepeatable: set[tuple[str, str]] = {
        (service.name, kind.name)
        for service in topology.services
        for kind in service.kinds
        if not kind.repeatable
    }
    service_by_target: dict[str, str] = {
        target.name: target.service for target in topology.targets
    }
    runs = collections.Counter(
        record.request_id
        for record in run_record.started
        if (service_by_target[record.target], record.kind) in unrepeatable
    )
    for request_id, count in runs.items():
        if count > 1:
            yield f'request {request_id} ran {count} times'


def _runs_reported_as_not_run(run_record: RunRecord) -> Iterator[str]:
    ran = {record.request_id for record in run_record.started}
    for outcome in run_record.outcomes:
        if outcome.ran == 'not-run' and outcome.request.request_id in ran:
            yield (
                f'request {outcome.request.request_id} ran, but its caller was '
                f'told that it had not run ({outcome.reason})'
            )


def _answer_violations(run_record: RunRecord) -> Iterator[str]:
    ran = {record.request_id for record in run_record.served}
    for outcome in run_record.outcomes:
        request_id = outcome.request.request_id
        if outcome.reason == 'wrong answer':
            yield f'request {request_id} got the answer of another request'
        if outcome.result == 'answered' and request_id not in ran:
            yield f'request {request_id} was answered, but no target ran it'


def _unanswered_kinds(
    topology: Topology, run_record: RunRecord
) -> Iterator[str]:
    answered = {
        (outcome.request.service, outcome.request.kind.name)
        for outcome in run_record.outcomes
        if outcome.result == 'answered'
    }
    for service in topology.services:
        for kind in service.kinds:
            if (service.name, kind.name) not in answered:
                yield f'no {kind.name} request of {service.name} was answered'
