"""Exceptions and error values of the package.

Expected failures, such as an invalid file, are returned as values and not
raised.
"""

import msgspec


class CuminhoistError(Exception):
    """Base class of all errors raised by this package."""


class InvariantError(CuminhoistError):
    """An internal invariant is broken; the process must stop."""


class ProtocolError(CuminhoistError):
    """Bytes of a request or an answer violate HTTP."""


class RemoteProtocolError(ProtocolError):
    """A target sent an invalid or incomplete answer."""


class ConnectionLostError(RemoteProtocolError):
    """A connection closed before the end of an answer."""


class LocalProtocolError(ProtocolError):
    """A request cannot be sent as it is."""


class FieldError(msgspec.Struct, frozen=True):
    """A validation error in a settings file or a list.

    :param file: the file with the invalid field.
    :param field: path of the field, such as ``callers[3].plan``.
    :param message: why the field is invalid.
    :param allowed: the allowed values, if the field has a fixed set.
    """

    file: str
    field: str
    message: str
    allowed: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Return the validation error as one line of text."""
        text = f'{self.file}: {self.field}: {self.message}'
        if self.allowed:
            return f'{text} (allowed: {", ".join(self.allowed)})'
        return text


class TransportError(msgspec.Struct, frozen=True):
    """A call to another instance failed.

    :param peer: the instance that was called.
    :param reason: why no reply was received.
    :param sent: whether the peer may have received the request.
    """

    peer: str
    reason: str
    sent: bool = True
