"""Writes docs/CAPACITY.md from the measured slopes in benchmarks/slopes/.

A slope is the cost of one unit: one block, heartbeat, change or caller. The
page multiplies the slopes by the size that the design is made for.
"""

import json
import pathlib
from typing import Any

import msgspec

ROOT = pathlib.Path(__file__).parent.parent
SLOPES = ROOT / 'benchmarks' / 'slopes'
PROSE = ROOT / 'benchmarks' / 'capacity_prose.md'
PAGE = ROOT / 'docs' / 'CAPACITY.md'
FIGURES = ROOT / 'benchmarks' / 'capacity_figures.json'

SECONDS_PER_DAY = 86_400
#: Largest allowed figure, by unit.
BUDGET_BY_UNIT = {'% core': 1.1, 'MB': 128.0, 'KB/s': 6.0, 'messages/s': 30.0}

#: Size of the deployment to design for, and constants of the design.
DESIGN_SIZE = {
    'nodes': 3900.0,
    'domains': 73.0,
    'sites': 460.0,
    'blocks': 4_900_000.0,
    'lookups_per_s': 2_900_000.0,
    'changes_per_day': 21_000.0,
    'restarts_per_day': 650.0,
    'fan_out': 8.0,
    'cell_peers': 7.0,
    'callers': 10_000.0,
    'base_mb': 57.4,
}


class Figure(msgspec.Struct, frozen=True):
    """One line of the page's table of figures.

    :param formula: sum of products; each factor is a number, or the name of
        a slope or of an entry of ``DESIGN_SIZE``.
    """

    role: str
    what: str
    formula: str
    unit: str
    mechanism: str


def _read_slopes(name: str) -> Any:
    return json.loads((SLOPES / f'{name}.json').read_text())


def slopes() -> dict[str, float]:
    """Return the measured slopes by name."""
    blocks = _read_slopes('block_map')[-1]
    delivery = _read_slopes('delivery_cost')
    busy, idle = delivery['changes'][-1], delivery['idle'][-1]
    sizes = next(row for row in delivery['sizes'] if row['callers'] == 10_000)
    heartbeat = _read_slopes('ownership_cost')['heartbeats'][-1]
    control = _read_slopes('control_cost')['idle 5 replicas heartbeat 0.5 s']
    return {
        'block_bytes': blocks['megabytes'] * 1e6 / blocks['blocks'],
        'block_lookup_us': blocks['lookup_us'],
        'lookup_us': _read_slopes('lookup_cost')[-1]['repeated_us'],
        'heartbeat_us': heartbeat['cpu_us_per_call'],
        'heartbeat_bytes': heartbeat['bytes_sent_per_s'],
        'parent_change_us': busy['parent_us_per_change_and_child'],
        'child_change_us': busy['child_us_per_change'],
        'change_bytes': busy['bytes_per_change_and_child'],
        'hop_p99_ms': busy['hop_p99_ms'],
        'parent_idle_us': idle['parent_us_per_s_and_child'],
        'child_idle_us': idle['child_us_per_s'],
        'snapshot_bytes_per_caller': sizes['snapshot_bytes_per_caller'],
        'control_change_ms': sizes['control_ms_per_change'],
        'leader_idle_percent': control['core_percent_leader_estimate'],
        'leader_idle_bytes': control['leader_sent_bytes_per_s'],
        'config_bytes': 166.0,
    }


def evaluate(formula: str, values: dict[str, float]) -> float:
    """Evaluate a formula of ``+``, ``*`` and ``/``.

    :param formula: the formula, with spaces around each operator.
    :param values: values of the names in the formula.
    """
    return sum(_product(term.split(), values) for term in formula.split(' + '))


def _product(tokens: list[str], values: dict[str, float]) -> float:
    product = _value(tokens[0], values)
    for operator, token in zip(tokens[1::2], tokens[2::2], strict=True):
        factor = _value(token, values)
        product = product * factor if operator == '*' else product / factor
    return product


def _value(token: str, values: dict[str, float]) -> float:
    return values[token] if token in values else float(token)


def render() -> str:
    """Return the text of the page."""
    measured = slopes()
    values = {**DESIGN_SIZE, **measured, 'day': float(SECONDS_PER_DAY)}
    lines = [
        '| role | what | formula | figure | budget | mechanism |',
        '|---|---|---|---|---|---|',
    ]
    rows = msgspec.json.decode(FIGURES.read_bytes(), type=list[Figure])
    for figure in rows:
        amount = evaluate(figure.formula, values)
        budget = BUDGET_BY_UNIT.get(figure.unit)
        limit = '' if budget is None else f'{budget:g}'
        if budget is not None and amount > budget:
            limit = f'{limit} **exceeded**'
        lines.append(
            f'| {figure.role} | {figure.what} | `{figure.formula}` | '
            f'{amount:,.3g} {figure.unit} | {limit} | {figure.mechanism} |',
        )
    table = [
        '| name | value |',
        '|---|---|',
        *(f'| `{name}` | {amount:,.6g} |' for name, amount in values.items()),
    ]
    return PROSE.read_text().format(
        figures='\n'.join(lines),
        names='\n'.join(table),
    )


if __name__ == '__main__':
    PAGE.write_text(render())
