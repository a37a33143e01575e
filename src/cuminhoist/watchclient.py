"""Long polls for the configuration, on the side of the child."""

import asyncio
from collections.abc import Callable

from returns.result import Success

from .clock import Clock
from .deltas import ApplyResult, ConfigStore
from .freshness import FRESH_S, MS_PER_S, Freshness, age_at_receipt
from .logging_setup import logger
from .transport import Transport
from .watch import (
    POLL_HOLD_S,
    RELAY_SLACK,
    HeldQuery,
    HeldReply,
    Watch,
    WatchReply,
)

#: Time for a reply beyond the hold; also the limit of a poll without hold.
REPLY_MARGIN_S = 0.5
#: An instance without configuration waits this long for the first one.
FIRST_HOLD_S = 0.5
RETRY_PAUSE_S = 0.1
#: A child on a fallback tries its preferred parent again after this time.
RETURN_S = 30.0
ISOLATED_AFTER_S = 3.0
#: Pause of a control replica that confirms its version itself.
CONFIRMED_PAUSE_S = 1.0

_log = logger('delivery')


class WatchClient:
    """Keeps one long poll at a parent.

    :param store: configuration of this instance and its history.
    :param freshness: age of the configuration.
    :param clock: source of time.
    :param transport: carries the polls.
    :param parents: returns whom to poll, the preferred parent first.
    :param peers: names of the other instances of the failure domain.
    :param hold_s: how long parents may hold a poll.
    """

    def __init__(
        self,
        store: ConfigStore,
        freshness: Freshness,
        clock: Clock,
        transport: Transport,
        parents: Callable[[], tuple[str, ...]],
        peers: tuple[str, ...] = (),
        hold_s: float = POLL_HOLD_S,
    ) -> None:
        self._store = store
        self._freshness = freshness
        self._clock = clock
        self._transport = transport
        self._parents = parents
        self._peers = peers
        self._hold_s = hold_s
        self._turn = 0
        self._last_parents: tuple[str, ...] = ()
        self._preferred_at = clock.now()
        self._snapshot = False
        self._confirm_first = True
        self.rejected = 0

    async def run(self) -> None:
        """Poll until cancelled; the next parent follows a failed one."""
        started = self._clock.now()
        while True:
            if self._freshness.confirmed_here():
                await asyncio.sleep(CONFIRMED_PAUSE_S)
            elif not await self.poll():
                self._turn += 1
                self._confirm_first = True
                await asyncio.sleep(RETRY_PAUSE_S)
            waited = self._clock.now() - started
            if self._is_empty() and waited >= ISOLATED_AFTER_S:
                await self._ask_peers()

    async def poll(self) -> bool:
        """Poll once; tell whether the parent is a fresh source."""
        parent = self._pick()
        if parent is None:
            return False
        hold_s = self._next_hold_s()
        sent_at = self._clock.now()
        reply = await self._transport.call(
            parent,
            Watch(
                have_version=self._store.in_force.version,
                hold_ms=int(hold_s * MS_PER_S),
                snapshot=self._snapshot,
            ),
            hold_s * RELAY_SLACK + REPLY_MARGIN_S,
        )
        if not isinstance(reply, Success):
            return False
        msg = reply.unwrap()
        if not isinstance(msg, WatchReply):
            return False
        elapsed = self._clock.now() - sent_at
        age = age_at_receipt(msg.age_ms, msg.held_ms, elapsed)
        self._confirm_first = False
        return self._take(msg, age) and not msg.busy

    def _pick(self) -> str | None:
        parents = self._parents()
        now = self._clock.now()
        if parents != self._last_parents or self._is_return_due(now):
            self._last_parents = parents
            self._turn = 0
            self._confirm_first = True
        if not parents:
            return None
        self._turn %= len(parents)
        if self._turn == 0:
            self._preferred_at = now
        return parents[self._turn]

    def _is_return_due(self, now: float) -> bool:
        return now - self._preferred_at >= RETURN_S

    def _next_hold_s(self) -> float:
        if self._is_empty():
            return FIRST_HOLD_S
        # After a lost parent, the next one confirms at once, without hold.
        return 0 if self._confirm_first else self._hold_s

    def _take(self, msg: WatchReply, age: float | None) -> bool:
        is_fresh = age is not None and age < FRESH_S
        if self._is_empty() and not is_fresh:
            return False
        if not self._take_config(msg):
            return False
        if age is not None:
            self._freshness.record_confirmation(age)
        return is_fresh

    def _take_config(self, msg: WatchReply) -> bool:
        if msg.version <= self._store.in_force.version:
            return True
        if msg.snapshot:
            taken = self._store.apply_snapshot(msg.snapshot, msg.digest)
        else:
            taken = self._store.apply_deltas(msg.steps, msg.digest)
        self._snapshot = taken is ApplyResult.corrupt and not msg.snapshot
        if taken is ApplyResult.corrupt:
            self.rejected += 1
            _log.warning('Rejected version {}: wrong digest.', msg.version)
        return self._store.in_force.version >= msg.version

    def _is_empty(self) -> bool:
        return self._store.in_force.current is None

    async def _ask_peers(self) -> None:
        replies = await asyncio.gather(
            *(
                self._transport.call(name, HeldQuery(), REPLY_MARGIN_S)
                for name in self._peers
            ),
        )
        held = [
            (answer.version, name)
            for name, reply in zip(self._peers, replies, strict=True)
            if isinstance(reply, Success)
            and isinstance(answer := reply.unwrap(), HeldReply)
        ]
        for version, name in sorted(held, reverse=True):
            if version >= 0 and await self._take_from(name):
                return

    async def _take_from(self, name: str) -> bool:
        reply = await self._transport.call(
            name,
            Watch(have_version=-1, snapshot=True),
            REPLY_MARGIN_S,
        )
        if not isinstance(reply, Success) or not self._is_empty():
            return False
        msg = reply.unwrap()
        if not isinstance(msg, WatchReply) or not self._take_config(msg):
            return False
        self._freshness.mark_isolated()
        _log.warning('No fresh source; took the state of {}.', name)
        return True
