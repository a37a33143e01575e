"""Gives requests the slots of targets: now, after a short wait, or never.

The load pattern that this answers: more requests than slots for seconds at
a time, each of full use only within an objective that is little longer than
its work. Every request that waits longer than its objective allows takes a
slot from one that would still be in time, so a request waits only as long as
its answer can be in time, and is refused at its arrival if the requests
before it will take longer than that.
"""

import collections
from collections.abc import Iterable

from ..rendezvous import score
from .asks import Ask, Decision, Done, Ending, Granted, RefusalReason, Refused
from .targets import TargetEntry
from .track import TargetTrack

#: Weight of a new observation in the run times of a service.
SMOOTHING = 0.05
#: Part of the first objective that a run is taken to last before any was
#: seen.
FIRST_RUN_PART = 0.7
#: Work on an object that the target holds takes about this part.
WARM_PART = 0.7
#: Runs vary by about 15%; a start that leaves less than this much more than
#: the mean is not in time often enough.
RUN_SPREAD = 0.1
#: A caller that is refused comes back after this time unless the estimate
#: is longer, in seconds.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 2.0
#: A request whose answer is late anyway waits at most this long for a slot
#: that no other request needs, in seconds.
LATE_WAIT_S = 0.03


class _Waiting:
    """A request in the queue of a service."""

    def __init__(self, asker: str, ask: Ask, now: float) -> None:
        self.asker = asker
        self.ask = ask
        self.since = now
        self.useful_until = now + ask.useful_s


class ServiceQueue:
    """Targets, run times and waiting requests of one service."""

    def __init__(self) -> None:
        self.tracks: dict[str, TargetTrack] = {}
        self.waiting: collections.deque[_Waiting] = collections.deque()
        self.warm_run_s = float(0)
        self.cold_run_s = float(0)

    def slots(self) -> float:
        """Return the slots of all targets."""
        return sum(track.slots for track in self.tracks.values())

    def learn(self, run_s: float, *, was_warm: bool) -> None:
        """Add the run time of an answered request.

        :param run_s: the time, in seconds.
        :param was_warm: whether its target held its object.
        """
        if was_warm:
            self.warm_run_s += SMOOTHING * (run_s - self.warm_run_s)
        else:
            self.cold_run_s += SMOOTHING * (run_s - self.cold_run_s)

    def expect(self, objective_s: float) -> None:
        """Take first run times from an objective.

        :param objective_s: time in which an answer is of full use.
        """
        if not self.cold_run_s and objective_s > 0:
            self.cold_run_s = objective_s * FIRST_RUN_PART / WARM_PART
            self.warm_run_s = objective_s * FIRST_RUN_PART

    def run_s(self, track: TargetTrack, key: str, now: float) -> float:
        """Return the expected time until an answer of a target.

        :param track: the target.
        :param key: identity of the object.
        :param now: monotonic time in seconds.
        """
        warm = track.is_warm(key)
        base = self.warm_run_s if warm else self.cold_run_s
        return base * track.slowdown(now) + track.distance_s


class Dispatcher:
    """Decides for the requests of one region."""

    def __init__(self) -> None:
        self._services: dict[str, ServiceQueue] = {}
        self._started: dict[tuple[str, int], tuple[str, bool]] = {}

    def service(self, name: str) -> ServiceQueue:
        """Return the queue of a service.

        :param name: the service.
        """
        return self._services.setdefault(name, ServiceQueue())

    def services(self) -> Iterable[tuple[str, ServiceQueue]]:
        """Return all services with their queues."""
        return self._services.items()

    def set_targets(
        self,
        service: str,
        tracks: dict[str, TargetTrack],
    ) -> None:
        """Replace the targets of a service.

        :param service: the service.
        :param tracks: its targets by name; known ones are kept objects.
        """
        self.service(service).tracks = tracks

    def offer(self, asker: str, ask: Ask, now: float) -> Decision | None:
        """Decide on a request at its arrival.

        :param asker: the entry instance that asks.
        :param ask: the request.
        :param now: monotonic time in seconds.
        :returns: the decision, or nothing if the request waits.
        """
        queue = self.service(ask.service)
        queue.expect(ask.useful_s)
        usable = _usable(queue, ask)
        if not usable:
            return Refused(ask.number, RefusalReason.no_target, MIN_RETRY_S)
        waiting = _Waiting(asker, ask, now)
        chosen = self._choose(queue, waiting, usable, now)
        if chosen is not None:
            return self._grant(queue, waiting, chosen, now)
        if self._may_wait(queue, waiting, usable, now):
            queue.waiting.append(waiting)
            return None
        return self._refuse(queue, waiting, now)

    def done(
        self,
        asker: str,
        done: Done,
        now: float,
    ) -> list[tuple[str, Decision]]:
        """Free the slot of an attempt and give it to a waiting request.

        :param asker: the entry instance that made the attempt.
        :param done: how it ended.
        :param now: monotonic time in seconds.
        :returns: decisions by entry instance.
        """
        started = self._started.pop((asker, done.number), None)
        queue = self.service(done.service)
        track = queue.tracks.get(done.target)
        if started is None or track is None:
            return self.tick(now)
        was_warm = started[1]
        expected = queue.warm_run_s if was_warm else queue.cold_run_s
        run_s = max(done.run_s - track.distance_s, 0)
        ratio = run_s / expected if expected else 1
        if done.ending is Ending.answered:
            if now >= track.cold_until and ratio < 3:
                queue.learn(run_s, was_warm=was_warm)
        track.end(done.ending, ratio, now)
        return self._serve_waiting(queue, now)

    def withdraw(self, asker: str, number: int, service: str) -> None:
        """Take a request out of the queue.

        :param asker: the entry instance that asked.
        :param number: identity of the request.
        :param service: its service.
        """
        queue = self.service(service)
        for waiting in queue.waiting:
            if waiting.asker == asker and waiting.ask.number == number:
                queue.waiting.remove(waiting)
                return

    def forget(self, asker: str, now: float) -> None:
        """Free everything of an entry instance that is gone.

        :param asker: the entry instance.
        :param now: monotonic time in seconds.
        """
        for queue in self._services.values():
            queue.waiting = collections.deque(
                entry for entry in queue.waiting if entry.asker != asker
            )
        for owner, number in [key for key in self._started if key[0] == asker]:
            target, _ = self._started.pop((owner, number))
            for queue in self._services.values():
                track = queue.tracks.get(target)
                if track is not None:
                    track.end(Ending.withdrawn, 1, now)

    def tick(self, now: float) -> list[tuple[str, Decision]]:
        """Decide on waiting requests whose time has come.

        :param now: monotonic time in seconds.
        :returns: decisions by entry instance.
        """
        decisions: list[tuple[str, Decision]] = []
        for queue in self._services.values():
            decisions.extend(self._serve_waiting(queue, now))
        return decisions

    def adopt(self, asker: str, done: Done, now: float) -> None:
        """Count an attempt that another dispatcher granted.

        :param asker: the entry instance that makes the attempt.
        :param done: names the attempt; its ending is not used.
        :param now: monotonic time in seconds.
        """
        track = self.service(done.service).tracks.get(done.target)
        if track is not None and (asker, done.number) not in self._started:
            self._started[(asker, done.number)] = (done.target, False)
            track.start(done.key, now)

    def _serve_waiting(
        self,
        queue: ServiceQueue,
        now: float,
    ) -> list[tuple[str, Decision]]:
        decisions: list[tuple[str, Decision]] = []
        for waiting in list(queue.waiting):
            usable = _usable(queue, waiting.ask)
            chosen = self._choose(queue, waiting, usable, now)
            decision: Decision | None = None
            if chosen is not None:
                decision = self._grant(queue, waiting, chosen, now)
            elif not usable or self._is_hopeless(queue, waiting, usable, now):
                decision = self._refuse(queue, waiting, now)
            if decision is not None:
                queue.waiting.remove(waiting)
                decisions.append((waiting.asker, decision))
        return decisions

    def _choose(
        self,
        queue: ServiceQueue,
        waiting: _Waiting,
        usable: list[TargetTrack],
        now: float,
    ) -> TargetTrack | None:
        """Return the target that a request is sent to now, if any."""
        ask = waiting.ask
        free = [track for track in usable if track.has_room(now)]
        if not free:
            return None
        best = min(
            free,
            key=lambda track: (
                queue.run_s(track, ask.key, now)
                + queue.warm_run_s * 0.1 * track.running / track.slots,
                -score(ask.key, track.entry.name),
            ),
        )
        if best.is_warm(ask.key) or not ask.key:
            return best
        useful_s = waiting.useful_until - now
        cold_in_time = queue.run_s(best, ask.key, now) <= useful_s
        held = [track for track in usable if track.is_warm(ask.key)]
        if not held or cold_in_time:
            return best
        # Only a target that holds the object can still be in time.
        warm_s = min(queue.run_s(track, ask.key, now) for track in held)
        wait_s = queue.warm_run_s / sum(track.slots for track in held)
        return None if warm_s + wait_s <= useful_s else best

    def _may_wait(
        self,
        queue: ServiceQueue,
        waiting: _Waiting,
        usable: list[TargetTrack],
        now: float,
    ) -> bool:
        slots = sum(track.slots for track in usable)
        if not slots:
            return False
        run_s = min(queue.run_s(track, waiting.ask.key, now) for track in usable)
        wait_s = queue.warm_run_s * (len(queue.waiting) + 1) / slots
        slack_s = waiting.ask.useful_s - run_s * (1 + RUN_SPREAD)
        if wait_s <= slack_s:
            return True
        return not queue.waiting and slack_s < 0 < waiting.ask.left_s - run_s

    def _is_hopeless(
        self,
        queue: ServiceQueue,
        waiting: _Waiting,
        usable: list[TargetTrack],
        now: float,
    ) -> bool:
        run_s = min(queue.run_s(track, waiting.ask.key, now) for track in usable)
        in_time = waiting.useful_until - now >= run_s
        return not in_time and now - waiting.since >= LATE_WAIT_S

    def _grant(
        self,
        queue: ServiceQueue,
        waiting: _Waiting,
        track: TargetTrack,
        now: float,
    ) -> Granted:
        ask = waiting.ask
        name = track.entry.name
        self._started[(waiting.asker, ask.number)] = (
            name,
            track.is_warm(ask.key),
        )
        track.start(ask.key, now)
        return Granted(ask.number, name, now - waiting.since)

    def _refuse(
        self,
        queue: ServiceQueue,
        waiting: _Waiting,
        now: float,
    ) -> Refused:
        slots = max(queue.slots(), 1)
        drain_s = queue.warm_run_s * len(queue.waiting) / slots
        retry_s = min(max(MIN_RETRY_S, drain_s), MAX_RETRY_S)
        return Refused(waiting.ask.number, RefusalReason.overload, retry_s)


def _usable(queue: ServiceQueue, ask: Ask) -> list[TargetTrack]:
    found = [
        track
        for name, track in queue.tracks.items()
        if track.slots > 0
        and name not in ask.excluded
        and (not ask.homes or track.region in ask.homes)
    ]
    return found

