"""Computes the differences between two versions of a list."""

from collections.abc import Iterable
from typing import Any

import msgspec

from .config_model import Allowances, Plans


class DiffLine(msgspec.Struct, frozen=True, kw_only=True):
    """One item that was added, removed or changed.

    :param part: list that holds the item, such as ``callers``.
    :param sign: ``+`` for added, ``-`` for removed, ``~`` for changed.
    :param item: the key fields of the item, separated by spaces.
    :param before: its other fields in the old list; empty if added.
    :param after: its other fields in the new list; empty if removed.
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
    key_fields = ('plan', 'service')
    return (
        *_diff('allowances', key_fields, old.allowances, new.allowances),
        *_diff('shift_caps', ('service',), old.shift_caps, new.shift_caps),
    )


def _diff(
    part: str,
    key_fields: tuple[str, ...],
    old: Iterable[Any],
    new: Iterable[Any],
) -> list[DiffLine]:
    old_items = {_key(item, key_fields): item for item in old}
    new_items = {_key(item, key_fields): item for item in new}
    lines = []
    for key in sorted(old_items.keys() | new_items.keys()):
        old_item, new_item = old_items.get(key), new_items.get(key)
        if old_item == new_item:
            continue
        sign = '~'
        if old_item is None or new_item is None:
            sign = '+' if old_item is None else '-'
        lines.append(
            DiffLine(
                part=part,
                sign=sign,
                item=key,
                before=_format_fields(old_item, key_fields),
                after=_format_fields(new_item, key_fields),
            ),
        )
    return lines


def _key(item: Any, key_fields: tuple[str, ...]) -> str:
    return ' '.join(getattr(item, name) for name in key_fields)


def _format_fields(item: Any, key_fields: tuple[str, ...]) -> str:
    if item is None:
        return ''
    fields = msgspec.structs.asdict(item)
    return ' '.join(
        f'{name}={setting}'
        for name, setting in fields.items()
        if name not in key_fields
    )
