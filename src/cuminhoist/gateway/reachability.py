"""Tells whether this entry instance reaches any target at all.

A failed connection may be the fault of the target or of the path to it. An
instance that no target accepts a new connection from is cut off: what it sees
is no evidence about targets, and other instances have to pass its requests on.
Open connections may live on for a while in a cut, so only new ones count.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Collection, Iterable, Iterator

from ..logging_setup import logger
from ..steering.targets import TargetEntry
from .request_state import RoutingState
from .target_connections import TargetConnections

#: Targets that are tried at the same time once a first one has refused.
BATCH_SIZE = 5
#: Targets that must all refuse a connection before the instance counts as cut
#: off.
MAX_CHECKED_TARGETS = 1 + 3 * BATCH_SIZE
#: Time between two checks while the instance is cut off, in seconds.
CHECK_INTERVAL_S = 0.5
#: Time without any answer after which an attempt raises a suspicion, seconds.
SILENCE_S = 0.5

_log = logger('targets')


class TargetReachability:
    """Finds out whether targets accept connections of this instance.

    :param connections: opens connections to targets.
    :param routing_state: has the targets that may be tried.
    :param now: returns monotonic time in seconds.
    """

    def __init__(
        self,
        connections: TargetConnections,
        routing_state: RoutingState,
        now: Callable[[], float],
    ) -> None:
        self.is_cut = False
        self._connections = connections
        self._routing_state = routing_state
        self._now = now
        self._rng = random.Random()  # noqa: S311
        self._answered_at = float('-inf')
        self._check: asyncio.Task[bool] | None = None
        self._watch: asyncio.Task[None] | None = None

    def record_answer(self) -> None:
        """Record that a target has answered."""
        self._answered_at = self._now()

    @property
    def is_silent(self) -> bool:
        """Whether no target has answered for ``SILENCE_S``."""
        return self._now() - self._answered_at >= SILENCE_S

    @contextlib.contextmanager
    def watching(self) -> Iterator[None]:
        """Check the targets if none answers soon after an attempt begins."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(SILENCE_S, self._check_if_silent)
        try:
            yield
        finally:
            timer.cancel()

    async def reaches_targets(self) -> bool:
        """Tell whether any of some targets accepts a connection now."""
        if self._check is None or self._check.done():
            self._check = asyncio.create_task(self._try_targets())
        return await asyncio.shield(self._check)

    async def reaches_domain(
        self, domain: str, without: Collection[str]
    ) -> bool:
        """Tell whether targets of a failure domain accept connections.

        A few are tried, of different services where possible. Without any
        that may be tried, nothing says that the domain is lost.

        :param domain: the failure domain.
        :param without: names of targets that are not tried.
        """
        others = [
            target
            for target in self._routing_state.targets.values()
            if target.domain == domain and target.name not in without
        ]
        self._rng.shuffle(others)
        by_service = {target.service: target for target in others}
        first = list(by_service.values())
        rest = [target for target in others if target not in first]
        tried = [*first, *rest][:BATCH_SIZE]
        connected = await asyncio.gather(
            *(self._connections.can_connect(target) for target in tried)
        )
        return not tried or any(connected)

    def _check_if_silent(self) -> None:
        if not self.is_cut and self.is_silent and self._check is None:
            self._check = asyncio.create_task(self._try_targets())

    async def _try_targets(self) -> bool:
        targets = self._routing_state.targets.values()
        reached = not targets
        for batch in check_batches(targets, self._rng):
            reached = any(
                await asyncio.gather(
                    *(self._connections.can_connect(each) for each in batch)
                )
            )
            if reached:
                break
        self._check = None
        if reached == self.is_cut:
            self.is_cut = not reached
            _log.bind(dependency='targets').warning(
                'regained' if reached else 'lost'
            )
        if self.is_cut and self._watch is None:
            self._watch = asyncio.create_task(self._watch_cut())
        return reached

    async def _watch_cut(self) -> None:
        while self.is_cut:
            await asyncio.sleep(CHECK_INTERVAL_S)
            await self.reaches_targets()
        self._watch = None


def check_batches(
    targets: Iterable[TargetEntry], rng: random.Random
) -> list[list[TargetEntry]]:
    """Return some random targets in the batches in which they are tried.

    They are of different domains where possible.

    :param targets: the targets that may be tried.
    :param rng: chooses among them.
    """
    shuffled = list(targets)
    rng.shuffle(shuffled)
    by_domain = {target.domain: target for target in shuffled}
    first = list(by_domain.values())
    others = [
        target for target in shuffled if by_domain[target.domain] is not target
    ]
    checked = [*first, *others][:MAX_CHECKED_TARGETS]
    rest = [
        checked[start : start + BATCH_SIZE]
        for start in range(1, len(checked), BATCH_SIZE)
    ]
    return [checked[:1], *rest] if checked else []
