"""Answers the long polls of children for a newer configuration.

A poll is held until there is a newer version, or until a newer confirmation
arrives in the second half of the hold. So a child receives a
change at once, and a newer confirmation with each poll.
"""

import asyncio

import msgspec

from .clock import Clock
from .codec import Message, register_message
from .deltas import ConfigStore
from .freshness import MS_PER_S, NO_AGE_MS, Freshness
from .transport import ErrorReply, Transport

#: Longest hold of a poll without a change.
POLL_HOLD_S = 2.0
#: A relay holds polls longer than its own poll takes, so that one newer
#: confirmation from its parent answers all its children.
RELAY_HOLD_FACTOR = 1.25
#: Twice the fan-out of the tree, so that an instance can also serve the
#: children of a failed instance of its layer.
MAX_HELD_POLLS = 16


@register_message
class Watch(Message, frozen=True):
    """Long poll of a child for a version newer than its own.

    :param have_version: version in force at the child, negative for none.
    :param hold_ms: longest time that the parent may hold the poll.
    :param snapshot: whether the child needs a snapshot instead of deltas.
    """

    have_version: int
    hold_ms: int = 0
    snapshot: bool = False


@register_message
class WatchReply(Message, frozen=True):
    """The version in force at the parent, with the changes the child lacks.

    :param version: version in force at the parent.
    :param age_ms: age of the confirmation that the version is current, -1
        without a confirmation.
    :param held_ms: how long the parent held the poll.
    :param steps: encoded deltas from the version of the child to that version.
    :param snapshot: the encoded configuration, empty where deltas are sent.
    :param digest: digest of the resulting configuration.
    :param busy: whether the parent did not hold the poll because it holds the
        maximum number of polls.
    """

    version: int
    age_ms: int
    held_ms: int
    steps: tuple[bytes, ...] = ()
    snapshot: bytes = b''
    digest: bytes = b''
    busy: bool = False


@register_message
class HeldQuery(Message, frozen=True):
    """Ask a domain peer which version it has in force."""


@register_message
class HeldReply(Message, frozen=True):
    """The version in force at a domain peer."""

    version: int


class WatchServer:
    """Answers the long polls of children.

    :param store: configuration of this instance and its history.
    :param freshness: age of the last confirmation.
    :param clock: source of time.
    :param transport: receives the polls.
    :param hold_s: longest time that a poll is held.
    """

    def __init__(
        self,
        store: ConfigStore,
        freshness: Freshness,
        clock: Clock,
        transport: Transport,
        hold_s: float = POLL_HOLD_S,
    ) -> None:
        self._store = store
        self._freshness = freshness
        self._clock = clock
        self._hold_s = hold_s
        self._changed = asyncio.Event()
        self.held_polls = 0
        store.in_force.subscribe(lambda _config: self._notify_polls())
        freshness.subscribe(self._notify_polls)
        transport.add_handler(Watch, self._on_watch)
        transport.add_handler(HeldQuery, self._on_held_query)

    def _notify_polls(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _on_held_query(self, _sender: str, _msg: Message) -> Message:
        return HeldReply(version=self._store.in_force.version)

    async def _on_watch(self, _sender: str, msg: Message) -> Message:
        if not isinstance(msg, Watch):
            return ErrorReply(reason='not a watch')
        received_at = self._clock.now()
        busy = False
        if msg.hold_ms > 0 and self._is_up_to_date(msg):
            busy = self.held_polls >= MAX_HELD_POLLS
            if not busy:
                await self._hold(msg, received_at)
        return self._reply(msg, received_at, busy)

    def _is_up_to_date(self, msg: Watch) -> bool:
        return self._store.in_force.version <= msg.have_version

    async def _hold(self, msg: Watch, received_at: float) -> None:
        hold_s = min(msg.hold_ms / MS_PER_S, self._hold_s)
        hold_factor = (
            1 if self._freshness.is_confirmed_locally() else RELAY_HOLD_FACTOR
        )
        self.held_polls += 1
        try:
            async with asyncio.timeout(hold_s * hold_factor):
                await self._wait_for_reply_due(msg, received_at + hold_s / 2)
        except TimeoutError:
            return
        finally:
            self.held_polls -= 1

    async def _wait_for_reply_due(
        self, msg: Watch, renewal_due_at: float
    ) -> None:
        while self._is_up_to_date(msg):
            await self._changed.wait()
            if self._clock.now() >= renewal_due_at:
                return

    def _reply(self, msg: Watch, received_at: float, busy: bool) -> WatchReply:
        encoded = self._store.encoded
        held_ms = int((self._clock.now() - received_at) * MS_PER_S)
        if encoded is None:
            return WatchReply(
                version=-1, age_ms=NO_AGE_MS, held_ms=held_ms, busy=busy
            )
        reply = WatchReply(
            version=encoded.config.version,
            age_ms=self._freshness.age_ms(),
            held_ms=held_ms,
            digest=encoded.digest,
            busy=busy,
        )
        if self._is_up_to_date(msg):
            return reply
        deltas = None
        if not msg.snapshot:
            deltas = self._store.deltas_since(msg.have_version)
        if deltas is None:
            return msgspec.structs.replace(reply, snapshot=encoded.payload)
        return msgspec.structs.replace(reply, steps=deltas)
