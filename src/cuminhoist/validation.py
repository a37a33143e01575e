"""Checks of the fields of a file or request body."""

import enum
import math
import re
from collections.abc import Collection, Iterable
from typing import Any, get_args, get_type_hints

import msgspec

from .exceptions import FieldError
from .settings import MAX_PORT, MIN_PORT, is_ip

MAX_NAME_CHARS = 64
#: A longer list of allowed values would hide the error message.
MAX_SHOWN_VALUES = 40
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]*')
_INSTANCE_NAME = re.compile('[a-z0-9-]+')


class Validator:
    """Validation errors found so far in one file.

    :param file: name of the file or ``body``.
    """

    def __init__(self, file: str) -> None:
        self._file = file
        self._errors: list[FieldError] = []

    def errors(self) -> tuple[FieldError, ...]:
        """Return all validation errors."""
        return tuple(self._errors)

    def add(
        self,
        field: str,
        text: str,
        allowed: Collection[str] = (),
    ) -> None:
        """Add a validation error.

        :param field: path of the field.
        :param text: what is wrong with its value.
        :param allowed: the allowed values, if they are a fixed set.
        """
        shown = tuple(sorted(allowed)[:MAX_SHOWN_VALUES])
        self._errors.append(FieldError(self._file, field, text, shown))

    def check_name(self, field: str, text: str) -> None:
        """Check that a text is a valid name.

        :param field: path of the field.
        :param text: the name.
        """
        if len(text) > MAX_NAME_CHARS:
            self.add(field, f'is longer than {MAX_NAME_CHARS} characters')
        elif not _NAME.fullmatch(text):
            self.add(
                field,
                f'{text!r} is not a name: use letters, digits, ".", "_", "-"',
            )

    def check_instance_name(self, field: str, text: str) -> None:
        """Check that a text is a valid name of an instance.

        The name has no dot, because idempotency keys consist of the name, a
        dot and more.

        :param field: path of the field.
        :param text: the name.
        """
        if len(text) > MAX_NAME_CHARS:
            self.add(field, f'is longer than {MAX_NAME_CHARS} characters')
        elif not _INSTANCE_NAME.fullmatch(text):
            self.add(
                field,
                f'{text!r} is not an instance name: use a-z, 0-9 and "-"',
            )

    def check_known(
        self, field: str, text: str, allowed: Collection[str]
    ) -> None:
        """Check that a name is one of the existing names.

        :param field: path of the field.
        :param text: the name.
        :param allowed: the names that exist.
        """
        if text not in allowed:
            self.add(field, f'unknown {text[:MAX_NAME_CHARS]!r}', allowed)

    def check_range(
        self,
        field: str,
        number: float,
        low: float,
        high: float,
    ) -> None:
        """Check that a number is finite and within a range.

        :param field: path of the field.
        :param number: the number.
        :param low: lowest allowed value.
        :param high: highest allowed value.
        """
        if not math.isfinite(number) or not low <= number <= high:
            self.add(field, f'{number} is not in the range {low:g} to {high:g}')

    def check_unique(self, field: str, names: Iterable[object]) -> None:
        """Check that the items of a list have unique names.

        :param field: path of the list.
        :param names: name or key of each item, in the order of the list.
        """
        first_indices: dict[object, int] = {}
        for index, name in enumerate(names):
            first_index = first_indices.setdefault(name, index)
            if first_index != index:
                self.add(
                    f'{field}[{index}]',
                    f'{_format_name(name)} is also at {field}[{first_index}]',
                )

    def check_size(
        self, field: str, items: Collection[object], high: int
    ) -> bool:
        """Check the size of a list and return whether it is allowed.

        :param field: path of the list.
        :param items: the list.
        :param high: largest allowed size.
        """
        if len(items) > high:
            self.add(
                field, f'has {len(items)} items; at most {high} are allowed'
            )
            return False
        return True

    def check_address(
        self, field: str, host: str, ports: dict[str, int]
    ) -> None:
        """Check an IP address and its ports.

        :param field: path of the item with the address.
        :param host: the IP address.
        :param ports: the ports by field name.
        """
        if not is_ip(host):
            shown = host[:MAX_NAME_CHARS]
            self.add(f'{field}.host', f'{shown!r} is not an IP address')
        for name, port in ports.items():
            self.check_range(f'{field}.{name}', port, MIN_PORT, MAX_PORT)


def field_error_from(
    file: str,
    exc: Exception,
    json_type: type[msgspec.Struct],
) -> FieldError:
    """Return the validation error for JSON that cannot be decoded.

    :param file: name of the file or ``body``.
    :param exc: the decoding error.
    :param json_type: type that the JSON was decoded to.
    """
    text, _, path = str(exc).partition(' - at ')
    field = path.strip('`') or '$'
    allowed: tuple[str, ...] = ()
    if 'unknown field' in text or 'enum value' in text:
        allowed = _allowed_values(json_type, field)
    return FieldError(file, field, text, allowed)


def _allowed_values(
    json_type: type[msgspec.Struct], field: str
) -> tuple[str, ...]:
    current: Any = json_type
    for name in field.removeprefix('$').split('.'):
        field_name = name.partition('[')[0]
        if field_name and isinstance(current, type):
            hints = get_type_hints(current)
            current = _item_type(hints.get(field_name, str))
    if isinstance(current, type) and issubclass(current, enum.Enum):
        return tuple(str(member.value) for member in current)
    if isinstance(current, type) and issubclass(current, msgspec.Struct):
        return current.__struct_fields__
    return ()


def _item_type(hint: Any) -> Any:
    # Returns the item type of a tuple, or the type of an optional field.
    args = [arg for arg in get_args(hint) if arg not in {type(None), ...}]
    return _item_type(args[0]) if args else hint


def _format_name(name: object) -> str:
    if isinstance(name, tuple):
        return ' '.join(str(item) for item in name)
    return repr(name)
