"""Implements the commands of the command-line tool that change nothing."""

import pathlib
from collections.abc import Iterable
from typing import Any, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from .config_diff import DiffLine, diff_allowances, diff_plans
from .config_model import Allowances, Configuration, Plans
from .config_validation import (
    check_allowances,
    check_plans,
    check_settings,
    check_topology,
)
from .exceptions import FieldError
from .instance_queries import InstanceLine, Instances
from .lookup import LookupAnswer
from .operator_api import Status
from .operatorclient import OperatorClient
from .output import Grid, Output
from .reports import Report
from .settings import Settings, Topology
from .validation import field_error_from

_Loaded = TypeVar('_Loaded', bound=msgspec.Struct)


class Files(msgspec.Struct, frozen=True, kw_only=True):
    """Paths of the files that a command reads; empty for none."""

    settings: str = ''
    topology: str = ''
    plans: str = ''
    allowances: str = ''


class Lists(msgspec.Struct, frozen=True, kw_only=True):
    """Lists read from files; None for a list without a file."""

    plans: Plans | None = None
    allowances: Allowances | None = None


def load(path: str, struct_type: type[_Loaded]) -> Result[_Loaded, FieldError]:
    """Read a JSON file; an error names file, field and allowed values.

    :param path: path of the file.
    :param struct_type: type of its content.
    """
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as exc:
        return Failure(FieldError(path, '$', f'cannot read: {exc.strerror}'))
    try:
        return Success(msgspec.json.decode(content, type=struct_type))
    except (msgspec.DecodeError, RecursionError) as exc:
        return Failure(field_error_from(path, exc, struct_type))


def load_lists(files: Files) -> Result[Lists, tuple[FieldError, ...]]:
    """Read lists and check what needs no topology.

    :param files: paths of the lists.
    """
    errors: list[FieldError] = []
    plans = _load_into(files.plans, Plans, errors)
    allowances = _load_into(files.allowances, Allowances, errors)
    if plans is not None:
        errors.extend(check_plans(plans, files.plans))
    if errors:
        return Failure(tuple(errors))
    return Success(Lists(plans=plans, allowances=allowances))


def check(files: Files) -> Output:
    """Check files, without a request to an instance.

    :param files: paths of the files.
    """
    errors: list[FieldError] = []
    cfg = _load_into(files.settings, Settings, errors)
    topology_file = files.topology
    if cfg is not None and not topology_file:
        folder = pathlib.Path(files.settings).parent
        topology_file = str(folder / cfg.topology)
    topology = _load_into(topology_file, Topology, errors)
    if topology is not None:
        errors.extend(check_topology(topology, topology_file))
    if cfg is not None:
        errors.extend(check_settings(cfg, topology, files.settings))
    plans = _load_into(files.plans, Plans, errors)
    if plans is not None:
        errors.extend(check_plans(plans, files.plans))
    allowances = _load_into(files.allowances, Allowances, errors)
    if allowances is not None and topology is not None:
        errors.extend(
            check_allowances(allowances, topology, plans, files.allowances),
        )
    elif allowances is not None:
        errors.append(
            FieldError(files.allowances, '$', 'needs --topology or --settings'),
        )
    if errors:
        return errors_output(errors)
    paths = [path for path in msgspec.structs.astuple(files) if path]
    if not paths:
        return Output.from_error('name at least one file to check')
    return Output(lines=('No errors.',), content={'errors': []})


def errors_output(errors: Iterable[FieldError]) -> Output:
    """Return the output of a command that found invalid fields.

    :param errors: the validation errors.
    """
    all_errors = tuple(errors)
    return Output(
        ok=False,
        lines=tuple(str(error) for error in all_errors),
        content={'errors': all_errors},
    )


async def show(client: OperatorClient) -> Output:
    """Show the configuration in force.

    :param client: client of any instance.
    """
    answer = await client.read('/v1/control/config', Configuration)
    if isinstance(answer, Failure):
        return Output.from_error(answer.failure())
    config = answer.unwrap()
    return Output(
        lines=(
            f'version {config.version}, plans {config.plans_version}, '
            f'allowances {config.allowances_version}',
        ),
        grids=(
            _grid_from_structs('plans', config.plans.plans),
            _grid_from_structs('callers', config.plans.callers),
            _grid_from_structs('allowances', config.allowances.allowances),
            _grid_from_structs('shift caps', config.allowances.shift_caps),
            _grid_from_structs('drains', config.drains),
        ),
        content=config,
    )


async def diff(client: OperatorClient, files: Files) -> Output:
    """Show how lists in files differ from the lists in force.

    :param client: client of any instance.
    :param files: paths of the lists.
    """
    loaded = load_lists(files)
    if isinstance(loaded, Failure):
        return errors_output(loaded.failure())
    answer = await client.read('/v1/control/config', Configuration)
    if isinstance(answer, Failure):
        return Output.from_error(answer.failure())
    differences = diff_lists(answer.unwrap(), loaded.unwrap())
    return Output(
        lines=() if differences else ('No differences.',),
        grids=diff_grids(differences),
        content={'differences': differences},
    )


def diff_lists(config: Configuration, lists: Lists) -> tuple[DiffLine, ...]:
    """Return how new lists differ from the lists in force.

    :param config: the configuration in force.
    :param lists: the new lists; None leaves a list out.
    """
    differences: tuple[DiffLine, ...] = ()
    if lists.plans is not None:
        differences += diff_plans(config.plans, lists.plans)
    if lists.allowances is not None:
        differences += diff_allowances(config.allowances, lists.allowances)
    return differences


def diff_grids(differences: tuple[DiffLine, ...]) -> tuple[Grid, ...]:
    """Return the table of differences, if there are any.

    :param differences: the differences.
    """
    rows = tuple(
        (line.sign, line.part, line.item, line.before, line.after)
        for line in differences
    )
    columns = ('', 'list', 'item', 'before', 'after')
    return (Grid('differences', columns, rows),) if rows else ()


async def status(client: OperatorClient) -> Output:
    """Show the state of an instance, and the version of all instances.

    :param client: client of any instance.
    """
    status_answer = await client.read('/v1/status', Status)
    if isinstance(status_answer, Failure):
        return Output.from_error(status_answer.failure())
    instances_answer = await client.read('/v1/control/instances', Instances)
    if isinstance(instances_answer, Failure):
        return Output.from_error(instances_answer.failure())
    own, all_instances = status_answer.unwrap(), instances_answer.unwrap()
    lines = [f'{own.name}: version {own.version}, {own.currency}']
    if own.control is not None:
        control = own.control
        lines.append(
            f'control: {control.role} of term {control.term}, leader '
            f'{control.leader or "unknown"}, voters '
            f'{", ".join(control.voters)} {control.fault}'.rstrip(),
        )
    if own.tasks_down:
        lines.append(f'tasks down: {", ".join(own.tasks_down)}')
    return Output(
        ok=all(line.held is not None for line in all_instances.instances),
        lines=tuple(lines),
        grids=(
            instances_grid(all_instances.instances),
            _grid_from_structs('drains', own.drains),
        ),
        content={'status': own, 'instances': all_instances},
    )


def instances_grid(lines: Iterable[InstanceLine]) -> Grid:
    """Return the table of the versions that instances have in force.

    :param lines: one line per instance.
    """
    return Grid(
        'instances',
        ('instance', 'failure domain', 'version', 'state'),
        tuple(
            (line.name, line.domain, '-', f'no reply: {line.reason}')
            if line.held is None
            else (
                line.name,
                line.domain,
                str(line.held.version),
                str(line.held.currency),
            )
            for line in lines
        ),
    )


async def lookup(client: OperatorClient, service: str, caller: str) -> Output:
    """Show which entry instances a caller should use.

    :param client: client of any instance.
    :param service: name of the service.
    :param caller: name of the caller.
    """
    answer = await client.read(
        '/v1/lookup', LookupAnswer, {'service': service, 'caller': caller}
    )
    if isinstance(answer, Failure):
        return Output.from_error(answer.failure())
    lookup_answer = answer.unwrap()
    return Output(
        lines=(f'lifetime {lookup_answer.lifetime_s:g} s',),
        grids=(_grid_from_structs('entry instances', lookup_answer.entries),),
        content=lookup_answer,
    )


async def explain(
    client: OperatorClient,
    caller: str,
    service: str,
    kind: str,
) -> Output:
    """Show where a request would go now, or why it would be refused.

    :param client: client of any instance.
    :param caller: name of the caller.
    :param service: name of the service.
    :param kind: kind of the request.
    """
    answer = await client.read(
        '/v1/explain',
        dict[str, Any],
        {'caller': caller, 'service': service, 'kind': kind},
    )
    if isinstance(answer, Failure):
        return Output.from_error(answer.failure())
    explanation = answer.unwrap()
    rows = tuple((name, str(field)) for name, field in explanation.items())
    grid = Grid(f'{caller}, {service}, {kind}', ('what', 'value'), rows)
    return Output(grids=(grid,), content=explanation)


async def report(client: OperatorClient) -> Output:
    """Show the accounts of all instances: requests by outcome.

    :param client: client of any instance.
    """
    answer = await client.read('/v1/report', Report)
    if isinstance(answer, Failure):
        return Output.from_error(answer.failure())
    accounts = answer.unwrap()
    lines: tuple[str, ...] = ()
    if accounts.silent:
        silent = ', '.join(accounts.silent)
        lines = (f'No reply, counted as last reported: {silent}',)
    if accounts.dropped_lives:
        lines += (f'Ended incarnations not counted: {accounts.dropped_lives}',)
    return Output(
        ok=not accounts.silent,
        lines=lines,
        grids=(
            _grid_from_structs('requests by caller and service', accounts.rows),
        ),
        content=accounts,
    )


def _grid_from_structs(title: str, items: Iterable[msgspec.Struct]) -> Grid:
    rows = tuple(items)
    columns = rows[0].__struct_fields__ if rows else ('none',)
    return Grid(
        title,
        columns,
        tuple(
            tuple(_format_cell(cell) for cell in msgspec.structs.astuple(row))
            for row in rows
        ),
    )


def _format_cell(cell: object) -> str:
    if isinstance(cell, tuple):
        return ', '.join(map(str, cell))
    if isinstance(cell, dict):
        return ', '.join(f'{name} {cell[name]}' for name in sorted(cell))
    return f'{cell:g}' if isinstance(cell, float) else str(cell)


def _load_into(
    path: str,
    struct_type: type[_Loaded],
    errors: list[FieldError],
) -> _Loaded | None:
    if not path:
        return None
    loaded = load(path, struct_type)
    if isinstance(loaded, Failure):
        errors.append(loaded.failure())
        return None
    return loaded.unwrap()
