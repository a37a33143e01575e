"""Differences between two lists for a person."""

from collections.abc import Iterable
from typing import Any

import msgspec

from .config_model import Allowances, Plans


class DiffLine(msgspec.Struct, frozen=True, kw_only=True):
    """One item that differs.

    :param part: list that holds the item, such as ``callers``.
    :param sign: ``+`` for added, ``-`` for removed, ``~`` for changed.
    """

    part: str
    sign: str
    item: str
    before: str = ''
    after: str = ''


def diff_plans(old: Plans, new: Plans) -> tuple[DiffLine, ...]:
    """Return the differences between two lists of plans.

    :param old: the list in force.
    :param new: the list that replaces it.
    """
    return (
        *_diff('plans', ('name',), old.plans, new.plans),
        *_diff('callers', ('name',), old.callers, new.callers),
    )


def diff_allowances(
    old: Allowances,
    new: Allowances,
) -> tuple[DiffLine, ...]:
    """Return the differences between two lists of allowances.

    :param old: the list in force.
    :param new: the list that replaces it.
    """
    by_plan = ('plan', 'service')
    return (
        *_diff('allowances', by_plan, old.allowances, new.allowances),
        *_diff('shift_caps', ('service',), old.shift_caps, new.shift_caps),
    )


def _diff(
    part: str,
    keys: tuple[str, ...],
    old: Iterable[Any],
    new: Iterable[Any],
) -> list[DiffLine]:
    before = {_key(item, keys): item for item in old}
    after = {_key(item, keys): item for item in new}
    lines = []
    for key in sorted(before.keys() | after.keys()):
        was, will = before.get(key), after.get(key)
        if was == will:
            continue
        sign = '~'
        if was is None or will is None:
            sign = '+' if was is None else '-'
        lines.append(
            DiffLine(
                part=part,
                sign=sign,
                item=key,
                before=_show(was, keys),
                after=_show(will, keys),
            ),
        )
    return lines


def _key(item: Any, keys: tuple[str, ...]) -> str:
    return ' '.join(getattr(item, key) for key in keys)


def _show(item: Any, keys: tuple[str, ...]) -> str:
    if item is None:
        return ''
    fields = msgspec.structs.asdict(item)
    return ' '.join(
        f'{name}={field}' for name, field in fields.items() if name not in keys
    )
