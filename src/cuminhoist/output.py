"""Writes the results of the command-line tool as tables or as JSON."""

import sys
from typing import Any, TextIO

import msgspec
from rich.console import Console
from rich.table import Table

#: Table width where the output is no terminal. The default of 80 columns
#: would break the cells.
PLAIN_WIDTH_COLUMNS = 160


class Grid(msgspec.Struct, frozen=True):
    """A table.

    :param title: title above the table.
    :param columns: titles of the columns.
    :param rows: cells of each row.
    """

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str, ...], ...]


class Output(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a command.

    :param ok: whether the command succeeded.
    :param lines: text for a person, before the tables.
    :param grids: tables for a person.
    :param content: what is written with ``--json``.
    """

    ok: bool = True
    lines: tuple[str, ...] = ()
    grids: tuple[Grid, ...] = ()
    content: Any = None

    @classmethod
    def from_error(cls, *errors: str) -> 'Output':
        """Build the output of a failed command.

        :param errors: text of each error.
        """
        return cls(ok=False, lines=errors, content={'errors': errors})


def write_output(
    output: Output, is_json: bool, stream: TextIO | None = None
) -> None:
    """Write a result as JSON, or as text and tables.

    :param output: the result.
    :param is_json: whether to write JSON.
    :param stream: where to write. By default standard output; the text of
        a failed command goes to standard error.
    """
    default_stream = sys.stdout if output.ok or is_json else sys.stderr
    stream = stream or default_stream
    if is_json:
        text = msgspec.json.format(msgspec.json.encode(output.content))
        stream.write(f'{text.decode()}\n')
        return
    width = None if stream.isatty() else PLAIN_WIDTH_COLUMNS
    console = Console(file=stream, width=width, highlight=False, markup=False)
    for line in output.lines:
        console.print(line, soft_wrap=True)
    for grid in output.grids:
        table = Table(*grid.columns, title=grid.title, title_justify='left')
        for row in grid.rows:
            table.add_row(*row)
        console.print(table)
