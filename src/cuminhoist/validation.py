"""Collects the faults of a file or a request body."""

import enum
import math
import re
from collections.abc import Collection, Iterable
from typing import Any, get_args, get_type_hints

import msgspec

from .exceptions import FieldError
from .settings import MAX_PORT, MIN_PORT, is_ip

MAX_NAME_CHARS = 64
#: More allowed values would hide the error message.
MAX_SHOWN_VALUES = 40
_NAME = re.compile('[A-Za-z0-9][A-Za-z0-9._-]*')
_INSTANCE_NAME = re.compile('[a-z0-9-]+')


class Validator:
    """Faults found so far in one file.

    :param file: name of the file or ``body``.
    """

    def __init__(self, file: str) -> None:
        self._file = file
        self._found: list[FieldError] = []

    def errors(self) -> tuple[FieldError, ...]:
        """Return all faults."""
        return tuple(self._found)

    def add(
        self,
        field: str,
        text: str,
        allowed: Collection[str] = (),
    ) -> None:
        """Note a fault.

        :param field: path of the field.
        :param text: what is wrong.
        :param allowed: the allowed values, where there is a fixed set.
        """
        shown = tuple(sorted(allowed)[:MAX_SHOWN_VALUES])
        self._found.append(FieldError(self._file, field, text, shown))

    def check_name(self, field: str, text: str) -> None:
        """Check that a text can be a name.

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
        """Check that a text can be the name of an instance.

        Idempotency keys have the name before a dot, so it holds none.

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
        """Check that a name refers to something that exists.

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
        """Check that a number is finite and in a range.

        :param field: path of the field.
        :param number: the number.
        :param low: lowest allowed value.
        :param high: highest allowed value.
        """
        if not math.isfinite(number) or not low <= number <= high:
            self.add(field, f'{number} is not from {low:g} to {high:g}')

    def check_unique(self, field: str, names: Iterable[object]) -> None:
        """Check that no two items of a list are the same.

        :param field: path of the list.
        :param names: what identifies each item.
        """
        places: dict[object, int] = {}
        for at, name in enumerate(names):
            first = places.setdefault(name, at)
            if first != at:
                self.add(
                    f'{field}[{at}]',
                    f'{_show(name)} is also at {field}[{first}]',
                )

    def check_size(
        self, field: str, items: Collection[object], high: int
    ) -> bool:
        """Check the size of a list and tell whether it is allowed.

        :param field: path of the list.
        :param items: the list.
        :param high: largest allowed size.
        """
        if len(items) > high:
            self.add(field, f'has {len(items)} items; at most {high} may be')
            return False
        return True

    def check_address(
        self, field: str, host: str, ports: dict[str, int]
    ) -> None:
        """Check an IP number and its ports.

        :param field: path of the item that holds them.
        :param host: the IP number.
        :param ports: the ports by field name.
        """
        if not is_ip(host):
            shown = host[:MAX_NAME_CHARS]
            self.add(f'{field}.host', f'{shown!r} is not an IP number')
        for name, port in ports.items():
            self.check_range(f'{field}.{name}', port, MIN_PORT, MAX_PORT)


def field_error_from(
    file: str,
    exc: msgspec.DecodeError,
    kind: type[msgspec.Struct],
) -> FieldError:
    """Return the fault behind a failure to decode JSON.

    :param file: name of the file or ``body``.
    :param exc: the failure.
    :param kind: type that the JSON should have.
    """
    text, _, path = str(exc).partition(' - at ')
    field = path.strip('`') or '$'
    allowed: tuple[str, ...] = ()
    if 'unknown field' in text or 'enum value' in text:
        allowed = _values_at(kind, field)
    return FieldError(file, field, text, allowed)


def _values_at(kind: type[msgspec.Struct], field: str) -> tuple[str, ...]:
    found: Any = kind
    for name in field.removeprefix('$').split('.'):
        plain = name.partition('[')[0]
        if plain and isinstance(found, type):
            hints = get_type_hints(found)
            found = _inner(hints.get(plain, str))
    if isinstance(found, type) and issubclass(found, enum.Enum):
        return tuple(str(member.value) for member in found)
    if isinstance(found, type) and issubclass(found, msgspec.Struct):
        return found.__struct_fields__
    return ()


def _inner(hint: Any) -> Any:
    # The item type of a tuple, or the type of an optional field.
    args = [arg for arg in get_args(hint) if arg not in {type(None), ...}]
    return _inner(args[0]) if args else hint


def _show(name: object) -> str:
    if isinstance(name, tuple):
        return ' '.join(str(part) for part in name)
    return repr(name)
