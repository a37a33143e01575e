"""Commands of the command-line tool that change something."""

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
    diff_of,
    errors_output,
    instances_grid,
    load_lists,
)
from .types import DrainScope

#: A change is in force everywhere within 11 s in the largest deployment.
WAIT_S = 15.0
WAIT_PAUSE_S = 0.5


class Decision(msgspec.Struct, frozen=True, kw_only=True):
    """What became of one change."""

    part: str
    change_id: str
    outcome: ChangeOutcome


async def init(client: OperatorClient) -> Output:
    """Make the control replica of an instance the first voter.

    :param client: client of the control instance.
    """
    answer = await client.init()
    if isinstance(answer, Failure):
        return Output.from_error(answer.failure())
    found = answer.unwrap()
    return Output(lines=(f'Cluster {found.cluster_id}.',), content=found)


async def apply(
    client: OperatorClient,
    files: Files,
    wait_s: float = 0,
) -> Output:
    """Replace lists by lists from files.

    :param client: client of any instance.
    :param files: paths of the lists.
    :param wait_s: how long to wait until all instances have the change.
    """
    loaded = load_lists(files)
    if isinstance(loaded, Failure):
        return errors_output(loaded.failure())
    lists = loaded.unwrap()
    answer = await client.read('/v1/control/config', Configuration)
    if isinstance(answer, Failure):
        return Output.from_error(answer.failure())
    config = answer.unwrap()
    lines = diff_of(config, lists)
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
    return await _submit_all(client, changes, wait_s, lines)


async def drain(
    client: OperatorClient,
    wanted: Drain,
    wait_s: float = 0,
) -> Output:
    """Announce a planned drain.

    :param client: client of any instance.
    :param wanted: the drain.
    :param wait_s: how long to wait until all instances have the change.
    """
    known = await client.read('/v1/control/config', Configuration)
    if isinstance(known, Failure):
        return Output.from_error(known.failure())
    version = known.unwrap().version
    change = Change.from_drain(_new_id(), wanted, version)
    return await _submit_all(client, [change], wait_s)


async def undrain(
    client: OperatorClient,
    wanted: Drain,
    wait_s: float = 0,
) -> Output:
    """End a drain.

    :param client: client of any instance.
    :param wanted: the drain, of which scope and name count.
    :param wait_s: how long to wait until all instances have the change.
    """
    known = await client.read('/v1/control/config', Configuration)
    if isinstance(known, Failure):
        return Output.from_error(known.failure())
    change = Change(
        change_id=_new_id(),
        base_version=known.unwrap().version,
        undrain=wanted,
    )
    return await _submit_all(client, [change], wait_s)


def read_scope(scope: str) -> DrainScope | None:
    """Return the scope of this name, if there is one.

    :param scope: the name.
    """
    return DrainScope(scope) if scope in tuple(DrainScope) else None


async def _submit_all(
    client: OperatorClient,
    changes: list[Change],
    wait_s: float,
    lines: tuple[DiffLine, ...] = (),
) -> Output:
    decisions: list[Decision] = []
    for change in changes:
        outcome = await client.submit(change)
        if isinstance(outcome, Failure):
            return _output(decisions, lines, outcome.failure())
        decided = outcome.unwrap()
        decisions.append(
            Decision(
                part=_part(change),
                change_id=change.change_id,
                outcome=decided,
            ),
        )
        if not isinstance(decided, Accepted):
            return _output(decisions, lines, _explain(decided))
    output = _output(decisions, lines)
    last = decisions[-1].outcome if decisions else None
    if wait_s and isinstance(last, Accepted):
        return await _wait(client, last.version, wait_s, output)
    return output


async def _wait(
    client: OperatorClient,
    version: int,
    wait_s: float,
    output: Output,
) -> Output:
    attempts = max(int(wait_s / WAIT_PAUSE_S), 1)
    instances: Instances | None = None
    for _ in range(attempts):
        answer = await client.read('/v1/control/instances', Instances)
        if not isinstance(answer, Failure):
            instances = answer.unwrap()
            if _is_everywhere(instances, version):
                break
        await asyncio.sleep(WAIT_PAUSE_S)
    if instances is None:
        return Output.from_error(*output.lines, 'no answer about instances')
    found = instances.instances
    silent = [line.name for line in found if line.held is None]
    behind = [
        line.name
        for line in found
        if line.held is not None and line.held.version < version
    ]
    count = len(found) - len(silent) - len(behind)
    return msgspec.structs.replace(
        output,
        ok=not silent and not behind,
        lines=(
            *output.lines,
            f'Version {version} is in force on {count} of {len(found)} '
            f'instances; {len(behind)} are behind, '
            f'{len(silent)} did not respond.',
        ),
        grids=(*output.grids, instances_grid(found)),
        content={
            **output.content,
            'version': version,
            'behind': behind,
            'silent': silent,
            'instances': found,
        },
    )


def _is_everywhere(instances: Instances, version: int) -> bool:
    return all(
        line.held is not None and line.held.version >= version
        for line in instances.instances
    )


def _output(
    decisions: list[Decision],
    lines: tuple[DiffLine, ...],
    error: str = '',
) -> Output:
    text = [
        f'{decision.part}: accepted as version {decision.outcome.version}'
        for decision in decisions
        if isinstance(decision.outcome, Accepted)
    ]
    if error:
        text.append(error)
    content: dict[str, object] = {
        'decisions': decisions,
        'differences': lines,
        'errors': [error] if error else [],
    }
    return Output(
        ok=not error,
        lines=tuple(text) or ('Nothing to change.',),
        grids=diff_grids(lines),
        content=content,
    )


def _explain(outcome: ChangeOutcome) -> str:
    if isinstance(outcome, Conflict):
        return (
            f'conflict: change {outcome.winner_id} won, the list is at '
            f'version {outcome.version}; look at "diff" and apply again'
        )
    if isinstance(outcome, Rejected):
        return f'rejected: {outcome.reason}'
    return str(outcome)


def _part(change: Change) -> str:
    names = ('plans', 'allowances', 'drain', 'undrain')
    return next(name for name in names if getattr(change, name) is not None)


def _new_id() -> str:
    return uuid.uuid4().hex
