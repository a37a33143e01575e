"""Long polls for the configuration, on the side of the parent."""

import asyncio

import msgspec

from .clock import Clock
from .codec import Message, register_message
from .deltas import ConfigStore
from .freshness import MS_PER_S, NO_AGE, Freshness
from .transport import ErrorReply, Transport

POLL_HOLD_S = 2.0
#: A relay holds longer than its own poll takes, so that one renewal of its
#: own confirmation answers all its children.
RELAY_SLACK = 1.25
#: Polls held at once: twice the fan-out, for children of a lost sibling.
MAX_POLLS = 16


@register_message
class Watch(Message, frozen=True):
    """Ask a parent for a version newer than the one held.

    :param have_version: version in force at the child, negative for none.
    :param hold_ms: how long the parent may wait for a newer version.
    :param snapshot: whether steps are of no use to the child.
    """

    have_version: int
    hold_ms: int = 0
    snapshot: bool = False


@register_message
class WatchReply(Message, frozen=True):
    """What the parent has beyond the version of the child.

    :param version: version in force at the parent.
    :param age_ms: age of the confirmation that it is current; -1 for none.
    :param held_ms: how long the parent held the poll.
    :param steps: steps from the version of the child to that version.
    :param snapshot: the whole configuration, empty where steps suffice.
    :param digest: digest of the resulting configuration.
    :param busy: the parent holds as many polls as it may.
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
    :param freshness: age of the configuration.
    :param clock: source of time.
    :param transport: serves the polls.
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
        self._news = asyncio.Event()
        self.polls = 0
        store.in_force.subscribe(lambda _config: self._wake())
        freshness.subscribe(self._wake)
        transport.add_handler(Watch, self._on_watch)
        transport.add_handler(HeldQuery, self._on_held)

    def _wake(self) -> None:
        self._news.set()
        self._news = asyncio.Event()

    async def _on_held(self, _sender: str, _msg: Message) -> Message:
        return HeldReply(version=self._store.in_force.version)

    async def _on_watch(self, _sender: str, msg: Message) -> Message:
        if not isinstance(msg, Watch):
            return ErrorReply(reason='not a watch')
        began = self._clock.now()
        busy = False
        if msg.hold_ms > 0 and self._has_nothing_for(msg):
            busy = self.polls >= MAX_POLLS
            if not busy:
                await self._hold(msg, began)
        return self._reply(msg, began, busy)

    def _has_nothing_for(self, msg: Watch) -> bool:
        return self._store.in_force.version <= msg.have_version

    async def _hold(self, msg: Watch, began: float) -> None:
        hold_s = min(msg.hold_ms / MS_PER_S, self._hold_s)
        slack = 1 if self._freshness.confirmed_here() else RELAY_SLACK
        self.polls += 1
        try:
            async with asyncio.timeout(hold_s * slack):
                await self._wait_for_news(msg, began + hold_s / 2)
        except TimeoutError:
            return
        finally:
            self.polls -= 1

    async def _wait_for_news(self, msg: Watch, renewal_from: float) -> None:
        while self._has_nothing_for(msg):
            await self._news.wait()
            if self._clock.now() >= renewal_from:
                return

    def _reply(self, msg: Watch, began: float, busy: bool) -> WatchReply:
        encoded = self._store.encoded
        held_ms = int((self._clock.now() - began) * MS_PER_S)
        if encoded is None:
            return WatchReply(
                version=-1, age_ms=NO_AGE, held_ms=held_ms, busy=busy
            )
        reply = WatchReply(
            version=encoded.config.version,
            age_ms=self._freshness.age_ms(),
            held_ms=held_ms,
            digest=encoded.digest,
            busy=busy,
        )
        if self._has_nothing_for(msg):
            return reply
        steps = None
        if not msg.snapshot:
            steps = self._store.deltas_since(msg.have_version)
        if steps is None:
            return msgspec.structs.replace(reply, snapshot=encoded.payload)
        return msgspec.structs.replace(reply, steps=steps)
