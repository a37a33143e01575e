"""Estimates when each target would answer a request, and picks one.

The load pattern that this answers: work on an object that a target holds
takes a third of the time, and no target holds all objects. Spread evenly,
requests keep evicting each other's objects and the targets have half of
their capacity. So each object has an order of targets in each region; a
request waits for a target that holds its object as long as that is faster
than work on another one from the start.
"""

import functools
from collections.abc import Iterable

import msgspec

from ..rendezvous import ranked
from .tracked_target import TrackedTarget

#: Added to the estimate for each place in the order of an object's targets,
#: in seconds: it decides between targets that would be equally fast.
RANK_STEP_S = 0.01
#: With a larger part of the targets set aside, failures are no reason to
#: avoid any: the others could not carry the load.
MAX_ASIDE_PART = 0.5
#: Orders that are kept; a service has tens to thousands of objects in use.
CACHED_ORDERS = 8192
#: Before any request it is open whether targets hold what they should.
FIRST_HELD_PART = 0.2
#: Weight of a new observation in these parts.
HELD_SMOOTHING = 0.05
#: Objects that targets are taken to keep at first, and the range; a wrong
#: guess to the high side makes work late, one to the low side moves it.
FIRST_KEPT = 14.0
MIN_KEPT = 6.0
MAX_KEPT = 64.0
KEPT_GROWTH = 0.02
KEPT_LOSS = 0.5


class RunTimes(msgspec.Struct):
    """How long the requests of a service run.

    :param hit_run_s: at a target that holds the object, in seconds.
    :param miss_run_s: at another one, in seconds.
    :param mean_s: of all requests, in seconds.
    :param held_part: part of the requests whose object the first target of
        its order held, although this dispatcher had not sent it there.
    :param held_away_part: the same for targets of other regions.
    :param kept: objects that a target is taken to keep.
    """

    hit_run_s: float = 0
    miss_run_s: float = 0
    mean_s: float = 0
    held_part: float = FIRST_HELD_PART
    held_away_part: float = FIRST_HELD_PART
    kept: float = FIRST_KEPT
    warm_count: int = 0
    cold_count: int = 0

    def presumed_s(self, *, away: bool) -> float:
        """Return the run time at a target that should hold the object.

        :param away: whether the target is in another region.
        """
        part = self.held_away_part if away else self.held_part
        return self.miss_run_s + part * (self.hit_run_s - self.miss_run_s)

    def note_presumed(self, *, held: bool, away: bool) -> None:
        """Learn whether a target held what it should.

        :param held: whether it did.
        :param away: whether the target is in another region.
        """
        if away:
            self.held_away_part += HELD_SMOOTHING * (held - self.held_away_part)
        else:
            self.held_part += HELD_SMOOTHING * (held - self.held_part)

    def note_known(self, *, held: bool, full: bool) -> None:
        """Learn how many objects targets keep.

        :param held: whether a target held an object that it was sent before.
        :param full: whether it was taken to hold as many as it keeps.
        """
        if held and full:
            self.kept = min(self.kept + KEPT_GROWTH, MAX_KEPT)
        elif not held:
            self.kept = max(self.kept - KEPT_LOSS, MIN_KEPT)


class Option(msgspec.Struct, frozen=True):
    """One way to serve a request.

    :param wait_s: time until the target has room, in seconds; 0 if it has.
    :param total_s: time until the answer, in seconds.
    """

    track: TrackedTarget
    wait_s: float
    total_s: float


@functools.lru_cache(maxsize=CACHED_ORDERS)
def object_order(key: str, names: tuple[str, ...]) -> dict[str, int]:
    """Return the place of each target in the order of an object.

    :param key: identity of the object.
    :param names: targets of one service in one region.
    """
    return {name: place for place, name in enumerate(ranked(key, names))}


class Placement:
    """Targets of one service as one dispatcher may use them.

    :param tracks: the targets by name.
    :param region: region of the dispatcher.
    """

    def __init__(self, tracks: dict[str, TrackedTarget], region: str) -> None:
        self.tracks = tracks
        self.region = region
        self.usable = [
            track for track in tracks.values() if track.pool.slots > 0
        ]
        by_region: dict[str, list[str]] = {}
        for name, track in tracks.items():
            by_region.setdefault(track.region, []).append(name)
        self._names = {
            place: tuple(sorted(names)) for place, names in by_region.items()
        }

    def options(
        self,
        key: str,
        times: RunTimes,
        now: float,
        homes: frozenset[str],
        excluded: tuple[str, ...],
    ) -> Iterable[Option]:
        """Yield the ways to serve a request.

        :param key: identity of its object, or empty.
        :param times: how long requests of the service run.
        :param now: monotonic time in seconds.
        :param homes: regions that may serve it; empty for all.
        :param excluded: targets that it was sent to before.
        """
        aside = sum(track.is_aside(now) for track in self.usable)
        scarce = aside > MAX_ASIDE_PART * len(self.usable)
        for track in self.usable:
            track.indispensable = scarce
            name = track.entry.name
            if name in excluded or (homes and track.region not in homes):
                continue
            order = object_order(key, self._names[track.region]) if key else {}
            place = order.get(name, 0)
            yield self._option(track, key, place, times, now)

    def _option(
        self,
        track: TrackedTarget,
        key: str,
        place: int,
        times: RunTimes,
        now: float,
    ) -> Option:
        warm = track.is_warm(key) or not key
        run_s = times.hit_run_s if warm else times.miss_run_s
        if not warm and not place:
            # Its region sends the object there first, also before this
            # dispatcher has started.
            run_s = times.presumed_s(away=track.region != self.region)
        track.usual_run_s = times.miss_run_s
        wait_s = track.wait_s(times.hit_run_s, now)
        warming_s = track.warming_s(key, times.miss_run_s, now)
        if not warm and warming_s is not None:
            wait_s = max(wait_s, warming_s)
            run_s = times.hit_run_s
        own = track.region == self.region
        if (
            own
            and track.untried
            and not (place or wait_s or track.is_cold(now))
        ):
            # A new target gets a request as soon as it is warm. Those of
            # other regions get theirs from the dispatcher there.
            return Option(track, 0, 0)
        busy_s = times.hit_run_s * 0.1 * track.running / track.slots
        total_s = (
            wait_s
            + run_s * track.slowdown(now)
            + track.distance_s
            + place * RANK_STEP_S
        )
        return Option(track, wait_s, total_s + busy_s)
