"""Tests of the encoding of internal messages."""

from typing import ClassVar

import msgspec
from returns.result import Success

from cuminhoist.codec import (
    TAG_BYTES,
    Codec,
    Message,
    ReceivedMessage,
    register_message,
)


@register_message
class RenamedFrame(Message, frozen=True):
    """A message that is written under another name than its class."""

    frame_name: ClassVar[str] = 'TestOuterName'

    number: int


@register_message
class DerivedFrame(RenamedFrame, frozen=True):
    """A subclass, which has its own frame name."""


def _exchange(msg):
    frame = Codec('key', 'a').encode(msg)
    name = msgspec.msgpack.decode(frame[TAG_BYTES:])[0]
    return name, Codec('key', 'b').decode(frame)


def test_explicit_frame_name_is_written_and_read_back():
    """Guards against frames that older instances do not know."""
    msg = RenamedFrame(number=3)
    received = Success(ReceivedMessage('a', msg))
    assert _exchange(msg) == ('TestOuterName', received)


def test_frame_name_is_not_inherited():
    """Guards against two classes that are written under one name."""
    msg = DerivedFrame(number=3)
    received = Success(ReceivedMessage('a', msg))
    assert _exchange(msg) == ('DerivedFrame', received)
