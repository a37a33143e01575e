"""Implements the commands of the command-line tool that change something.

A change gets a new id per command, and the client resends it under this id
until it is decided, so that a lost answer does not apply it twice.
"""

import asyncio
import uuid

import msgspec
from returns.result import Failure

from .config_diff import DiffLine
from .config_model import (
    Accepted,
    Change,
    ChangeOutcome,
    Configuration,
    Conflict,
    Drain,
    Rejected,
)
from .instance_queries import Instances
from .operatorclient import OperatorClient
from .output import Output
from .queries import (
    Files,
    diff_grids,
    diff_lists,
    errors_output,
    instances_grid,
    load_lists,
)
from .types import DrainScope

#: In the largest deployment, a change is in force on all instances within
#: 11 s.
IN_FORCE_WAIT_S = 15.0
POLL_INTERVAL_S = 0.5


class ChangeResult(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one change.

    :param part: field that the change sets, such as ``plans``.
    """

    part: str
    change_id: str
    outcome: ChangeOutcome


async def init(client: OperatorClient) -> Output:
    """Initialise a cluster with one control instance as first voter.

    :param client: client of the control instance; its replica is empty.
    """
    answer = await client.init()
    if isinstance(answer, Failure):
        return Output.from_error(answer.failure())
    initialised = answer.unwrap()
    return Output(
        lines=(f'Cluster {initialised.cluster_id}.',),
        content=initialised,
    )


async def apply(
    client: OperatorClient,
    files: Files,
    wait_s: float = 0,
) -> Output:
    """Replace lists in force by lists from files.

    :param client: client of any instance.
    :param files: paths of the lists.
    :param wait_s: how long to wait until the change is in force on all
        instances, in seconds; 0 for not at all.
    """
    loaded = load_lists(files)
    if isinstance(loaded, Failure):
        return errors_output(loaded.failure())
    lists = loaded.unwrap()
    answer = await client.read('/v1/control/config', Configuration)
    if isinstance(answer, Failure):
        return Output.from_error(answer.failure())
    config = answer.unwrap()
    differences = diff_lists(config, lists)
    changes: list[Change] = []
    if lists.plans is not None and lists.plans != config.plans:
        changes.append(
            Change(
                change_id=_new_id(),
                base_version=config.plans_version,
                plans=lists.plans,
            ),
        )
    if lists.allowances not in {None, config.allowances}:
        changes.append(
            Change(
                change_id=_new_id(),
                base_version=config.allowances_version,
                allowances=lists.allowances,
            ),
        )
    return await _submit_all(client, changes, wait_s, differences)


async def drain(
    client: OperatorClient,
    new_drain: Drain,
    wait_s: float = 0,
) -> Output:
    """Announce a planned drain.

    :param client: client of any instance.
    :param new_drain: the drain.
    :param wait_s: how long to wait until the change is in force on all
        instances, in seconds; 0 for not at all.
    """
    answer = await client.read('/v1/control/config', Configuration)
    if isinstance(answer, Failure):
        return Output.from_error(answer.failure())
    version = answer.unwrap().version
    change = Change.from_drain(_new_id(), new_drain, version)
    return await _submit_all(client, [change], wait_s)


async def undrain(
    client: OperatorClient,
    ended_drain: Drain,
    wait_s: float = 0,
) -> Output:
    """End a drain.

    :param client: client of any instance.
    :param ended_drain: the drain; only its scope and name count.
    :param wait_s: how long to wait until the change is in force on all
        instances, in seconds; 0 for not at all.
    """
    answer = await client.read('/v1/control/config', Configuration)
    if isinstance(answer, Failure):
        return Output.from_error(answer.failure())
    change = Change(
        change_id=_new_id(),
        base_version=answer.unwrap().version,
        undrain=ended_drain,
    )
    return await _submit_all(client, [change], wait_s)


def parse_scope(scope: str) -> DrainScope | None:
    """Return the drain scope with this name, if there is one.

    :param scope: name of the scope.
    """
    return DrainScope(scope) if scope in tuple(DrainScope) else None


async def _submit_all(
    client: OperatorClient,
    changes: list[Change],
    wait_s: float,
    differences: tuple[DiffLine, ...] = (),
) -> Output:
    change_results: list[ChangeResult] = []
    for change in changes:
        answer = await client.submit(change)
        if isinstance(answer, Failure):
            return _build_output(change_results, differences, answer.failure())
        outcome = answer.unwrap()
        change_results.append(
            ChangeResult(
                part=_changed_field(change),
                change_id=change.change_id,
                outcome=outcome,
            ),
        )
        if not isinstance(outcome, Accepted):
            return _build_output(
                change_results, differences, _describe_outcome(outcome)
            )
    output = _build_output(change_results, differences)
    last_outcome = change_results[-1].outcome if change_results else None
    if wait_s and isinstance(last_outcome, Accepted):
        return await _wait_until_in_force(
            client, last_outcome.version, wait_s, output
        )
    return output


async def _wait_until_in_force(
    client: OperatorClient,
    version: int,
    wait_s: float,
    output: Output,
) -> Output:
    poll_count = max(int(wait_s / POLL_INTERVAL_S), 1)
    instances: Instances | None = None
    for _ in range(poll_count):
        answer = await client.read('/v1/control/instances', Instances)
        if not isinstance(answer, Failure):
            instances = answer.unwrap()
            if _is_in_force_everywhere(instances, version):
                break
        await asyncio.sleep(POLL_INTERVAL_S)
    if instances is None:
        return Output.from_error(
            *output.lines, 'could not read the versions of the instances'
        )
    instance_lines = instances.instances
    silent = [line.name for line in instance_lines if line.held is None]
    behind = [
        line.name
        for line in instance_lines
        if line.held is not None and line.held.version < version
    ]
    count = len(instance_lines) - len(silent) - len(behind)
    return msgspec.structs.replace(
        output,
        ok=not silent and not behind,
        lines=(
            *output.lines,
            f'Version {version} is in force on {count} of '
            f'{len(instance_lines)} instances; {len(behind)} are behind, '
            f'{len(silent)} did not reply.',
        ),
        grids=(*output.grids, instances_grid(instance_lines)),
        content={
            **output.content,
            'version': version,
            'behind': behind,
            'silent': silent,
            'instances': instance_lines,
        },
    )


def _is_in_force_everywhere(instances: Instances, version: int) -> bool:
    return all(
        line.held is not None and line.held.version >= version
        for line in instances.instances
    )


def _build_output(
    change_results: list[ChangeResult],
    differences: tuple[DiffLine, ...],
    error: str = '',
) -> Output:
    text_lines = [
        f'{result.part}: accepted as version {result.outcome.version}'
        for result in change_results
        if isinstance(result.outcome, Accepted)
    ]
    if error:
        text_lines.append(error)
    content: dict[str, object] = {
        'decisions': change_results,
        'differences': differences,
        'errors': [error] if error else [],
    }
    return Output(
        ok=not error,
        lines=tuple(text_lines) or ('Nothing to change.',),
        grids=diff_grids(differences),
        content=content,
    )


def _describe_outcome(outcome: ChangeOutcome) -> str:
    if isinstance(outcome, Conflict):
        return (
            f'conflict: change {outcome.winner_id} won, the list is at '
            f'version {outcome.version}; see "diff", then apply again'
        )
    if isinstance(outcome, Rejected):
        return f'rejected: {outcome.reason}'
    return str(outcome)


def _changed_field(change: Change) -> str:
    names = ('plans', 'allowances', 'drain', 'undrain')
    return next(name for name in names if getattr(change, name) is not None)


def _new_id() -> str:
    return uuid.uuid4().hex
