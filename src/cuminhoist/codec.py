"""Encoding of internal messages, with a keyed tag on every frame."""

import hashlib
import hmac
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

TAG_BYTES = 16
MAX_FRAME_BYTES = 64 * 1024 * 1024


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all messages between instances."""


_Kind = TypeVar('_Kind', bound=type[Message])
_registry: dict[str, type[Message]] = {}


class _Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message with its name and its sender."""

    name: str
    sender: str
    body: msgspec.Raw


class ReceivedMessage(msgspec.Struct, frozen=True):
    """A decoded message and the instance that sent it."""

    sender: str
    message: Message


def frame_name_of(kind: type[Message]) -> str:
    """Return the name under which messages of a class are written.

    :param kind: the class. Its own attribute ``frame_name`` replaces its
        name; subclasses do not inherit it.
    """
    return str(kind.__dict__.get('frame_name', kind.__name__))


def register_message(kind: _Kind) -> _Kind:
    """Register a message class under its frame name.

    :param kind: the class, a subclass of :class:`Message`.
    """
    _registry[frame_name_of(kind)] = kind
    return kind


class Codec:
    """Encodes and decodes frames for one cluster.

    :param cluster_key: secret shared by all instances of a cluster.
    :param sender: name of this instance.
    """

    def __init__(self, cluster_key: str, sender: str) -> None:
        self._key = hashlib.blake2b(cluster_key.encode()).digest()
        self._sender = sender
        self._encoder = msgspec.msgpack.Encoder()
        self._envelopes = msgspec.msgpack.Decoder(_Envelope)

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
        return self._tag(body) + body

    def decode(self, frame: bytes) -> Result[ReceivedMessage, str]:
        """Return the message of a frame, or why it is not valid.

        :param frame: bytes from the network; may be forged.
        """
        tag, body = frame[:TAG_BYTES], frame[TAG_BYTES:]
        if len(frame) > MAX_FRAME_BYTES:
            return Failure('frame is too large')
        if not hmac.compare_digest(tag, self._tag(body)):
            return Failure('wrong tag')
        try:
            return self._decode_body(body)
        except msgspec.DecodeError as exc:
            return Failure(f'malformed message: {exc}')

    def _decode_body(self, body: bytes) -> Result[ReceivedMessage, str]:
        envelope = self._envelopes.decode(body)
        kind = _registry.get(envelope.name)
        if kind is None:
            return Failure(f'unknown message {envelope.name!r}')
        msg = msgspec.msgpack.decode(envelope.body, type=kind)
        return Success(ReceivedMessage(envelope.sender, msg))

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body,
            key=self._key,
            digest_size=TAG_BYTES,
        ).digest()
