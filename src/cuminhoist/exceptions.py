"""Errors of the package; expected outcomes are values, not exceptions."""

import msgspec


class CuminhoistError(Exception):
    """Base class of all errors raised by this package."""


class InvariantError(CuminhoistError):
    """An internal invariant is broken; the process must stop."""


class FieldError(msgspec.Struct, frozen=True):
    """One fault in a settings file or a list.

    :param file: the file that holds the fault.
    :param field: path of the field, such as ``callers[3].plan``.
    :param message: what is wrong.
    :param allowed: the allowed values, where there is a fixed set.
    """

    file: str
    field: str
    message: str
    allowed: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Return the fault as one line of text."""
        text = f'{self.file}: {self.field}: {self.message}'
        if self.allowed:
            return f'{text} (allowed: {", ".join(self.allowed)})'
        return text


class TransportError(msgspec.Struct, frozen=True):
    """A call to another instance failed.

    :param peer: the instance that was called.
    :param reason: why no reply was received.
    :param sent: whether the request may have reached the peer.
    """

    peer: str
    reason: str
    sent: bool = True
