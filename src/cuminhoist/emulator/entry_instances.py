"""All entry instances of the emulator, and what cuts do to them."""

import random
from collections.abc import Callable, Iterable

from ..gateway.reachability import CHECK_INTERVAL_S, SILENCE_S, check_batches
from ..gateway.relay import MAX_PEERS
from ..gateway.target_connections import CONNECT_TIMEOUT_S
from ..steering.targets import TargetEntry
from .emulated_entry import EmulatedEntry
from .patterns import Cut, CutConnections, Pattern
from .poison import REACTION_S
from .targets import EmulatedTarget

#: Time in which a near target accepts or refuses a connection, in seconds.
TARGET_RTT_S = 0.0015

_Schedule = Callable[[float, Callable[[], None]], None]
_Listed = Callable[[], Iterable[EmulatedTarget]]


class EntryInstances:
    """All entry instances, the cuts of the pattern and their checks.

    :param pattern: the load pattern.
    :param seed: seed of the random numbers.
    :param schedule_after: calls a function after a time in seconds.
    :param listed: returns the listed targets.
    """

    def __init__(
        self,
        pattern: Pattern,
        seed: int,
        schedule_after: _Schedule,
        listed: _Listed,
    ) -> None:
        self._rng = random.Random(seed)  # noqa: S311
        self._schedule_after = schedule_after
        self._listed = listed
        self._cuts = pattern.cuts
        self._by_region = {
            region.name: [
                EmulatedEntry(f'{region.name}-entry-{number}', region.name)
                for number in range(region.entries)
            ]
            for region in pattern.regions
        }
        for cut in pattern.cuts:
            self._schedule_cut(cut)

    def choose(self, region: str) -> EmulatedEntry:
        """Return the entry instance that a caller asks.

        :param region: region of the caller.
        """
        return self._rng.choice(self._by_region[region])

    def peers(self, entry: EmulatedEntry) -> list[EmulatedEntry]:
        """Return the instances that a cut one passes a request on to.

        :param entry: the cut instance.
        """
        others = [
            peer
            for peers in self._by_region.values()
            for peer in peers
            if peer is not entry
        ]
        self._rng.shuffle(others)
        others.sort(key=lambda peer: peer.region != entry.region)
        others.sort(key=lambda peer: peer.is_cut)
        return others[:MAX_PEERS]

    def was_asked_in_cut(self, entry: EmulatedEntry, now: float) -> bool | None:
        """Tell whether an instance has been cut off for a while.

        :param entry: the instance that a caller asks.
        :param now: simulated time, in seconds.
        :returns: None if no instance has, or this one was cut off just now.
        """
        known_cuts = [
            cut
            for cut in self._cuts
            if cut.at_s + REACTION_S <= now < cut.at_s + cut.for_s
        ]
        if entry.cut is not None:
            return True if entry.cut in known_cuts else None
        return False if known_cuts else None

    def time_to_fail_s(self, entry: EmulatedEntry) -> float:
        """Return how long a new connection of a cut instance takes to fail.

        :param entry: the instance.
        """
        cut = entry.cut
        hangs = cut is not None and cut.connections is CutConnections.hang
        return CONNECT_TIMEOUT_S if hangs else TARGET_RTT_S

    def check(
        self, entry: EmulatedEntry, on_result: Callable[[bool], None]
    ) -> None:
        """Find out whether an instance reaches any target.

        :param entry: the instance.
        :param on_result: called with the result, after the time that the
            connections take.
        """
        entry.check_callbacks.append(on_result)
        if len(entry.check_callbacks) > 1:
            return
        listed = list(self._listed())
        accepting = {
            target.entry.name for target in listed if not target.stopped
        }
        batches = check_batches([target.entry for target in listed], self._rng)
        self._try_batches(entry, batches, accepting)

    def check_if_silent(self, entry: EmulatedEntry, now: float) -> None:
        """Check the targets if none has answered for a while.

        :param entry: the instance.
        :param now: simulated time, in seconds.
        """
        silent = now - entry.answered_at >= SILENCE_S
        if silent and not entry.is_cut and not entry.check_callbacks:
            self.check(entry, _ignore_result)

    def _try_batches(
        self,
        entry: EmulatedEntry,
        batches: list[list[TargetEntry]],
        accepting: set[str],
    ) -> None:
        if not batches:
            self._end_check(entry, reached=False)
            return
        batch = batches[0]

        def end_batch() -> None:
            names = {target.name for target in batch}
            if entry.cut is None and names & accepting:
                self._end_check(entry, reached=True)
            else:
                self._try_batches(entry, batches[1:], accepting)

        self._schedule_after(self.time_to_fail_s(entry), end_batch)

    def _end_check(self, entry: EmulatedEntry, *, reached: bool) -> None:
        was_cut = entry.is_cut
        entry.is_cut = not reached
        callbacks = entry.check_callbacks
        entry.check_callbacks = []
        for on_result in callbacks:
            on_result(reached)
        if entry.is_cut and not was_cut:
            self._schedule_after(CHECK_INTERVAL_S, lambda: self._recheck(entry))

    def _recheck(self, entry: EmulatedEntry) -> None:
        def check_again(reached: bool) -> None:  # noqa: FBT001
            if not reached:
                self._schedule_after(
                    CHECK_INTERVAL_S, lambda: self._recheck(entry)
                )

        self.check(entry, check_again)

    def _schedule_cut(self, cut: Cut) -> None:
        for entry in self._by_region[cut.region][: cut.entries]:
            self._schedule_after(cut.at_s, _setter(entry, cut))
            self._schedule_after(cut.at_s + cut.for_s, _setter(entry, None))


def _setter(entry: EmulatedEntry, cut: Cut | None) -> Callable[[], None]:
    def set_cut() -> None:
        entry.cut = cut
        if cut is not None and cut.connections is CutConnections.reset:
            entry.reset_connections()

    return set_cut


def _ignore_result(_reached: bool) -> None:  # noqa: FBT001
    """Ignore the result of a check: the instance keeps it."""
