"""Polls a parent for newer configurations and confirmations.

A child keeps one long poll at its parent. After a failed poll, it polls the
next parent on its list, and 30 s later its preferred parent again. An instance
that starts while no parent has a fresh configuration applies the highest
version of its domain peers after 3 s, and reports it as isolated.
"""

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
    RELAY_HOLD_FACTOR,
    HeldQuery,
    HeldReply,
    Watch,
    WatchReply,
)

#: Time for a reply in addition to the hold; the time-out without a hold.
REPLY_MARGIN_S = 0.5
#: Hold of polls of an instance that has no configuration yet.
EMPTY_HOLD_S = 0.5
#: Pause between a failed poll and the poll of the next parent.
RETRY_PAUSE_S = 0.1
#: A child that polls a fallback parent polls the preferred parent again
#: after this time.
PREFERRED_PARENT_RETRY_S = 30.0
#: Time without a configuration after which domain peers are asked for one.
ISOLATED_AFTER_S = 3.0
#: Interval at which a control replica that confirms its version itself
#: checks that it still does.
LOCAL_CHECK_INTERVAL_S = 1.0

_log = logger('delivery')


class WatchClient:
    """Keeps one long poll at a parent and applies the replies.

    :param store: configuration of this instance and its history.
    :param freshness: age of the last confirmation.
    :param clock: source of time.
    :param transport: sends the polls.
    :param parents: returns the names of the parents, the preferred one first.
    :param peers: names of the other instances of the failure domain.
    :param hold_s: longest time that parents may hold a poll.
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
        self._parent_index = 0
        self._last_parents: tuple[str, ...] = ()
        self._preferred_polled_at = clock.now()
        self._needs_snapshot = False
        self._skips_hold = True
        self.rejected_count = 0

    async def run(self) -> None:
        """Poll until cancelled; after a failed poll, use the next parent."""
        started_at = self._clock.now()
        while True:
            if self._freshness.is_confirmed_locally():
                await asyncio.sleep(LOCAL_CHECK_INTERVAL_S)
            elif not await self.poll():
                self._parent_index += 1
                self._skips_hold = True
                await asyncio.sleep(RETRY_PAUSE_S)
            waited_s = self._clock.now() - started_at
            if self._is_empty() and waited_s >= ISOLATED_AFTER_S:
                await self._apply_from_peers()

    async def poll(self) -> bool:
        """Poll once; return whether to keep polling this parent.

        It must have a fresh configuration, and must not be busy.
        """
        parent = self._choose_parent()
        if parent is None:
            return False
        hold_s = self._next_hold_s()
        sent_at = self._clock.now()
        reply = await self._transport.call(
            parent,
            Watch(
                have_version=self._store.in_force.version,
                hold_ms=int(hold_s * MS_PER_S),
                snapshot=self._needs_snapshot,
            ),
            hold_s * RELAY_HOLD_FACTOR + REPLY_MARGIN_S,
        )
        if not isinstance(reply, Success):
            return False
        msg = reply.unwrap()
        if not isinstance(msg, WatchReply):
            return False
        elapsed_s = self._clock.now() - sent_at
        age_s = age_at_receipt(msg.age_ms, msg.held_ms, elapsed_s)
        self._skips_hold = False
        return self._apply_reply(msg, age_s) and not msg.busy

    def _choose_parent(self) -> str | None:
        parents = self._parents()
        now = self._clock.now()
        if parents != self._last_parents or self._is_preferred_parent_due(now):
            self._last_parents = parents
            self._parent_index = 0
            self._skips_hold = True
        if not parents:
            return None
        self._parent_index %= len(parents)
        if self._parent_index == 0:
            self._preferred_polled_at = now
        return parents[self._parent_index]

    def _is_preferred_parent_due(self, now: float) -> bool:
        return now - self._preferred_polled_at >= PREFERRED_PARENT_RETRY_S

    def _next_hold_s(self) -> float:
        if self._is_empty():
            return EMPTY_HOLD_S
        # The first poll at another parent has no hold, so that it confirms the
        # version at once.
        return 0 if self._skips_hold else self._hold_s

    def _apply_reply(self, msg: WatchReply, age_s: float | None) -> bool:
        is_fresh = age_s is not None and age_s < FRESH_S
        if self._is_empty() and not is_fresh:
            return False
        if not self._apply_config(msg):
            return False
        if age_s is not None:
            self._freshness.record_confirmation(age_s)
        return is_fresh

    def _apply_config(self, msg: WatchReply) -> bool:
        if msg.version <= self._store.in_force.version:
            return True
        if msg.snapshot:
            result = self._store.apply_snapshot(msg.snapshot, msg.digest)
        else:
            result = self._store.apply_deltas(msg.steps, msg.digest)
        self._needs_snapshot = (
            result is ApplyResult.corrupt and not msg.snapshot
        )
        if result is ApplyResult.corrupt:
            self.rejected_count += 1
            _log.warning(
                'Rejected configuration version {}: digest does not match.',
                msg.version,
            )
        return self._store.in_force.version >= msg.version

    def _is_empty(self) -> bool:
        return self._store.in_force.current is None

    async def _apply_from_peers(self) -> None:
        replies = await asyncio.gather(
            *(
                self._transport.call(name, HeldQuery(), REPLY_MARGIN_S)
                for name in self._peers
            ),
        )
        peer_versions = [
            (msg.version, name)
            for name, reply in zip(self._peers, replies, strict=True)
            if isinstance(reply, Success)
            and isinstance(msg := reply.unwrap(), HeldReply)
        ]
        for version, name in sorted(peer_versions, reverse=True):
            if version >= 0 and await self._apply_from_peer(name):
                return

    async def _apply_from_peer(self, name: str) -> bool:
        reply = await self._transport.call(
            name,
            Watch(have_version=-1, snapshot=True),
            REPLY_MARGIN_S,
        )
        if not isinstance(reply, Success) or not self._is_empty():
            return False
        msg = reply.unwrap()
        if not isinstance(msg, WatchReply) or not self._apply_config(msg):
            return False
        self._freshness.mark_isolated()
        _log.warning('No fresh parent; applied the configuration of {}.', name)
        return True
