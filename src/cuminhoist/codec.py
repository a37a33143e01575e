"""Encodes internal messages as frames and authenticates them.

A frame is a tag (BLAKE2b keyed with the cluster key) followed by a msgpack
envelope. The tag is checked before anything is decoded, so that bytes from
outside the cluster never reach the decoder.
"""

import hashlib
import hmac
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

TAG_BYTES = 16
MAX_FRAME_BYTES = 64 * 1024 * 1024
#: Beginning of the reason for a message of a newer version.
UNKNOWN_MESSAGE = 'unknown message'
#: Raised for integers out of range, texts with surrogates, values of types
#: that have no encoding, and deep nesting.
_ENCODING_ERRORS = (OverflowError, ValueError, TypeError, RecursionError)


class Message(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Base of all messages between instances.

    Frames carry no field names, so new fields go last and have defaults.
    """


_MessageType = TypeVar('_MessageType', bound=type[Message])
_types_by_frame_name: dict[str, type[Message]] = {}


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its frame name and its sender."""

    name: str
    sender: str
    body: msgspec.Raw


class ReceivedMessage(msgspec.Struct, frozen=True):
    """A decoded message and the name of the instance that sent it."""

    sender: str
    message: Message


def frame_name_of(message_type: type[Message]) -> str:
    """Return the name that identifies a message class in frames.

    :param message_type: the class. Its own attribute ``frame_name`` replaces
        its name; subclasses do not inherit it.
    """
    return str(message_type.__dict__.get('frame_name', message_type.__name__))


def register_message(message_type: _MessageType) -> _MessageType:
    """Register a message class under its frame name.

    :param message_type: the class, a subclass of :class:`Message`.
    """
    _types_by_frame_name[frame_name_of(message_type)] = message_type
    return message_type


class Codec:
    """Encodes and decodes frames of one cluster.

    :param cluster_key: secret shared by all instances of a cluster.
    :param sender: name of this instance.
    """

    def __init__(self, cluster_key: str, sender: str) -> None:
        self._key = hashlib.blake2b(cluster_key.encode()).digest()
        self._sender = sender
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(_Envelope)

    def encode(self, msg: Message) -> bytes:
        """Return the frame of a message.

        :param msg: the message.
        """
        envelope = _Envelope(
            frame_name_of(type(msg)),
            self._sender,
            msgspec.Raw(self._encoder.encode(msg)),
        )
        body = self._encoder.encode(envelope)
        return self._compute_tag(body) + body

    def try_encode(self, msg: Message) -> Result[bytes, str]:
        """Return the frame of a message, or why it has none.

        Frames hold integers of 64 bits and texts of Unicode characters.

        :param msg: the message.
        """
        try:
            return Success(self.encode(msg))
        except _ENCODING_ERRORS as exc:
            return Failure(f'{type(exc).__name__}: {exc}')

    def decode(self, frame: bytes) -> Result[ReceivedMessage, str]:
        """Return the message of a frame, or why the frame is not valid.

        :param frame: bytes from the network; may be forged.
        """
        tag, body = frame[:TAG_BYTES], frame[TAG_BYTES:]
        if len(frame) > MAX_FRAME_BYTES:
            return Failure('frame is too large')
        if not hmac.compare_digest(tag, self._compute_tag(body)):
            return Failure('wrong tag')
        try:
            return self._decode_body(body)
        except (msgspec.DecodeError, RecursionError) as exc:
            return Failure(f'malformed message: {exc}')

    def _decode_body(self, body: bytes) -> Result[ReceivedMessage, str]:
        envelope = self._envelope_decoder.decode(body)
        message_type = _types_by_frame_name.get(envelope.name)
        if message_type is None:
            return Failure(f'{UNKNOWN_MESSAGE} {envelope.name[:64]!r}')
        msg = msgspec.msgpack.decode(envelope.body, type=message_type)
        return Success(ReceivedMessage(envelope.sender, msg))

    def _compute_tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body,
            key=self._key,
            digest_size=TAG_BYTES,
        ).digest()
