"""Compares what callers were told with what the targets saw."""

import collections
from collections.abc import Iterable, Iterator

import msgspec

from cuminhoist.settings import Topology

from .callers import Outcome
from .standins import RequestRecord, StandinUpstreams


class RunRecord(msgspec.Struct, frozen=True):
    """All that a run left behind.

    :param outcomes: what callers were told.
    :param started: what the targets began to run.
    :param served: what they ran to the end.
    :param most_in_flight: highest number of requests at once by target.
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
        """Collect the evidence of a run.

        :param outcomes: what callers were told.
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


def violations(topology: Topology, evidence: RunRecord) -> list[str]:
    """Return every broken promise of a run as a sentence.

    :param topology: the deployment.
    :param evidence: what the run left behind.
    """
    return [
        *_slots(topology, evidence),
        *_at_most_once(topology, evidence),
        *_not_run(evidence),
        *_answers(evidence),
        *_coverage(topology, evidence),
    ]


def _slots(topology: Topology, evidence: RunRecord) -> Iterator[str]:
    for target in topology.targets:
        most = evidence.most_in_flight[target.name]
        if most > target.slots:
            yield f'{target.name} ran {most} requests on {target.slots} slots'


def _at_most_once(topology: Topology, evidence: RunRecord) -> Iterator[str]:
    single: set[tuple[str, str]] = {
        (service.name, kind.name)
        for service in topology.services
        for kind in service.kinds
        if not kind.repeatable
    }
    services: dict[str, str] = {
        target.name: target.service for target in topology.targets
    }
    runs = collections.Counter(
        record.request_id
        for record in evidence.started
        if (services[record.target], record.kind) in single
    )
    for request_id, count in runs.items():
        if count > 1:
            yield f'request {request_id} ran {count} times'


def _not_run(evidence: RunRecord) -> Iterator[str]:
    ran = {record.request_id for record in evidence.started}
    for outcome in evidence.outcomes:
        if outcome.ran == 'not-run' and outcome.request.request_id in ran:
            yield (
                f'request {outcome.request.request_id} ran, but was refused '
                f'as not run ({outcome.reason})'
            )


def _answers(evidence: RunRecord) -> Iterator[str]:
    ran = {record.request_id for record in evidence.served}
    for outcome in evidence.outcomes:
        request_id = outcome.request.request_id
        if outcome.reason == 'wrong answer':
            yield f'request {request_id} got the answer of another'
        if outcome.result == 'answered' and request_id not in ran:
            yield f'request {request_id} was answered, but never ran'


def _coverage(topology: Topology, evidence: RunRecord) -> Iterator[str]:
    answered = {
        (outcome.request.service, outcome.request.kind.name)
        for outcome in evidence.outcomes
        if outcome.result == 'answered'
    }
    for service in topology.services:
        for kind in service.kinds:
            if (service.name, kind.name) not in answered:
                yield f'no {kind.name} of {service.name} was answered'
