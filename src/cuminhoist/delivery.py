"""Delivery of the configuration from control to every instance."""

import asyncio

from returns.result import Success

from .codec import Message, message
from .inforce import ConfigInForce
from .lists import Configuration
from .transport import ErrorReply, Transport

POLL_HOLD_S = 2.0
POLL_TIMEOUT_S = 4.0
RETRY_PAUSE_S = 0.2


@message
class Watch(Message, frozen=True):
    """Ask a parent for a version newer than the one held."""

    have_version: int


@message
class WatchReply(Message, frozen=True):
    """The newest configuration, or None if there is nothing newer."""

    config: Configuration | None


class WatchServer:
    """Answers the long polls of children.

    :param in_force: configuration of this instance.
    :param transport: serves the polls.
    """

    def __init__(self, in_force: ConfigInForce, transport: Transport) -> None:
        self._in_force = in_force
        self._changed = asyncio.Event()
        in_force.subscribe(self._on_change)
        transport.register(Watch, self._on_watch)

    def _on_change(self, _config: Configuration) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _on_watch(self, _sender: str, msg: Message) -> Message:
        if not isinstance(msg, Watch):
            return ErrorReply(reason='not a watch')
        if self._in_force.version <= msg.have_version:
            try:
                await asyncio.wait_for(self._changed.wait(), POLL_HOLD_S)
            except TimeoutError:
                return WatchReply(config=None)
        return WatchReply(config=self._in_force.current)


class WatchClient:
    """Keeps one long poll at a parent.

    :param in_force: configuration of this instance.
    :param transport: carries the polls.
    :param parents: names of instances to poll, the preferred one first.
    """

    def __init__(
        self,
        in_force: ConfigInForce,
        transport: Transport,
        parents: tuple[str, ...],
    ) -> None:
        self._in_force = in_force
        self._transport = transport
        self._parents = parents

    async def run(self) -> None:
        """Poll until cancelled; the next parent follows a failed one."""
        turn = 0
        while True:
            parent = self._parents[turn % len(self._parents)]
            reply = await self._transport.call(
                parent,
                Watch(have_version=self._in_force.version),
                POLL_TIMEOUT_S,
            )
            if isinstance(reply, Success):
                self._take(reply.unwrap())
            else:
                turn += 1
                await asyncio.sleep(RETRY_PAUSE_S)

    def _take(self, msg: Message) -> None:
        if isinstance(msg, WatchReply) and msg.config is not None:
            self._in_force.advance(msg.config)
