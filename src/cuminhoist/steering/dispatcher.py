"""Gives requests the slots of targets: now, after a short wait, or never.

The load pattern that this answers: more requests than slots for seconds at
a time, each of full use only within an objective that is little longer than
its work. Every request that waits longer than its objective allows takes a
slot from one that would still be in time, so a request waits only as long as
its answer can be in time, and is refused at its arrival if that will not be.
"""

from collections.abc import Iterable

from .decisions import (
    AttemptReport,
    Decision,
    Ending,
    Granted,
    PlacementRequest,
    RefusalReason,
    Refused,
)
from .placement import Option, Placement
from .queues import (
    FIRST_COLD_PART,
    SMOOTHING,
    RunningAttempt,
    ServiceQueue,
    WaitingRequest,
)
from .region_shift_limiter import RegionShiftLimiter
from .tracked_target import TrackedTarget

#: A run that took this many times longer than expected says nothing of the
#: service.
OUTLIER_RATIO = 4.0
#: A run within this factor of the usual one on a new object was one.
COLD_LIKE_RATIO = 1.35
#: With a larger part of a region's own targets disturbed, its requests may
#: move freely; below, the other targets take over.
MAX_DISTURBED_PART = 0.05
#: Runs vary by about 15%; what is estimated to end this close to the
#: objective is not in time often enough.
RUN_SPREAD = 0.1
#: When a refused caller may come back, in seconds.
MIN_RETRY_S = 0.2
MAX_RETRY_S = 2.0
#: A request whose answer is late anyway waits at most this long for a slot,
#: in seconds.
LATE_WAIT_S = 0.05
#: Time after the deadline of an attempt in which its end is reported, in
#: seconds.
REPORT_S = 1.0
#: An attempt that another dispatcher granted ends within this time, in
#: seconds; its deadline is not known.
ADOPTED_S = 2.0


class Dispatcher:
    """Decides for the requests of one region.

    :param shift_limit: most of the requests that may change their region
        within two seconds.
    """

    def __init__(self, shift_limit: float = 1) -> None:
        self.shift_limiter = RegionShiftLimiter(shift_limit)
        self._services: dict[str, ServiceQueue] = {}
        self._started: dict[tuple[str, int], RunningAttempt] = {}

    def queue(self, name: str) -> ServiceQueue:
        """Return the queue of a service.

        :param name: the service.
        """
        return self._services.setdefault(name, ServiceQueue())

    def queues(self) -> Iterable[tuple[str, ServiceQueue]]:
        """Return all services with their queues."""
        return self._services.items()

    def service_loads(
        self,
    ) -> Iterable[tuple[str, float, Iterable[TrackedTarget]]]:
        """Yield name, run time in seconds and targets of each service."""
        for name, queue in self._services.items():
            yield name, queue.run_times.hit_run_s, queue.tracks.values()

    def has_waiting(self) -> bool:
        """Tell whether any request waits."""
        return any(queue.waiting for queue in self._services.values())

    def set_targets(
        self,
        service: str,
        tracks: dict[str, TrackedTarget],
        region: str,
        now: float = 0,
    ) -> None:
        """Replace the targets of a service.

        :param service: the service.
        :param tracks: its targets by name; known ones are kept objects.
        :param region: region of the dispatcher.
        :param now: monotonic time in seconds.
        """
        queue = self.queue(service)
        lost = queue.tracks.keys() - tracks.keys()
        if any(queue.tracks[name].region == region for name in lost):
            self.shift_limiter.record_disturbance(now)
        queue.placement = Placement(tracks, region)

    def decide_or_queue(
        self, entry_instance: str, ask: PlacementRequest, now: float
    ) -> Decision | None:
        """Decide on a request at its arrival.

        :param entry_instance: the entry instance that asks.
        :param ask: the request.
        :param now: monotonic time in seconds.
        :returns: the decision, or nothing if the request waits.
        """
        queue = self.queue(ask.service)
        queue.expect(ask.objective_left_s)
        waiting = WaitingRequest(entry_instance, ask, now)
        decision = self._decide(queue, waiting, now)
        if decision is None:
            queue.waiting.append(waiting)
        return decision

    def end_attempt(
        self,
        entry_instance: str,
        done: AttemptReport,
        now: float,
    ) -> list[tuple[str, Decision]]:
        """Free the slot of an attempt and give it to a waiting request.

        :param entry_instance: the entry instance that made the attempt.
        :param done: how it ended.
        :param now: monotonic time in seconds.
        :returns: decisions by entry instance.
        """
        started = self._started.pop((entry_instance, done.number), None)
        if started is None:
            return []
        queue = self.queue(started.service)
        track = queue.tracks.get(started.target)
        if track is None:
            return []
        self._note_end(queue, track, started, done, now)
        return self._serve_queue_of(queue, track, now)

    def withdraw(
        self,
        entry_instance: str,
        number: int,
        service: str,
        now: float,
    ) -> None:
        """Take a request out of the queue, or free its slot.

        :param entry_instance: the entry instance that asked.
        :param number: identity of the request.
        :param service: its service.
        :param now: monotonic time in seconds.
        """
        queue = self.queue(service)
        for waiting in tuple(queue.waiting):
            if (
                waiting.entry_instance == entry_instance
                and waiting.ask.number == number
            ):
                waiting.leave()
                queue.waiting.remove(waiting)
        # The grant may have crossed the withdrawal.
        started = self._started.pop((entry_instance, number), None)
        if started is not None:
            self._free(started, now)

    def release_entry_instance(self, entry_instance: str, now: float) -> None:
        """Free everything of an entry instance that is gone.

        :param entry_instance: the entry instance.
        :param now: monotonic time in seconds.
        """
        for queue in self._services.values():
            for waiting in tuple(queue.waiting):
                if waiting.entry_instance == entry_instance:
                    waiting.leave()
                    queue.waiting.remove(waiting)
        for key, started in tuple(self._started.items()):
            if key[0] == entry_instance:
                self._started.pop(key)
                self._free(started, now)

    def expire_attempts(self, now: float) -> None:
        """Free attempts whose end was never reported.

        :param now: monotonic time in seconds.
        """
        for key, started in list(self._started.items()):
            if now > started.ends_at + REPORT_S:
                self._free(self._started.pop(key), now)

    def decide_waiting(self, now: float) -> list[tuple[str, Decision]]:
        """Decide on waiting requests whose time has come.

        :param now: monotonic time in seconds.
        :returns: decisions by entry instance.
        """
        decisions: list[tuple[str, Decision]] = []
        for queue in self._services.values():
            for waiting in list(queue.waiting):
                if now < waiting.look_at:
                    continue
                decision = self._decide(queue, waiting, now)
                if decision is not None:
                    queue.waiting.remove(waiting)
                    decisions.append((waiting.entry_instance, decision))
        return decisions

    def restore_attempt(
        self, entry_instance: str, done: AttemptReport, now: float
    ) -> None:
        """Count an attempt that another dispatcher granted.

        :param entry_instance: the entry instance that makes the attempt.
        :param done: names the attempt; its ending is not used.
        :param now: monotonic time in seconds.
        """
        track = self.queue(done.service).tracks.get(done.target)
        if (
            track is not None
            and (entry_instance, done.number) not in self._started
        ):
            self._started[(entry_instance, done.number)] = RunningAttempt(
                done.service,
                done.target,
                done.key,
                now + ADOPTED_S,
            )
            track.start(done.key, now)

    def learn_from_attempt(self, done: AttemptReport, now: float) -> None:
        """Learn from an attempt that another dispatcher granted.

        :param done: how it ended.
        :param now: monotonic time in seconds.
        """
        queue = self.queue(done.service)
        track = queue.tracks.get(done.target)
        if track is None or done.ending is not Ending.answered:
            return
        ratio = self._learn(queue, track, done, track.is_warm(done.key), now)
        track.observe(done.key, ratio, now)

    def _decide(
        self,
        queue: ServiceQueue,
        waiting: WaitingRequest,
        now: float,
    ) -> Decision | None:
        ask = waiting.ask
        waiting.leave()
        options = list(
            queue.placement.options(
                ask.key,
                queue.run_times,
                now,
                ask.allowed_regions,
                ask.excluded,
            ),
        )
        if not options:
            return Refused(ask.number, RefusalReason.no_target, MIN_RETRY_S)
        options = self._within_shift(queue, options, now)
        best = min(options, key=lambda option: option.total_s)
        if not best.wait_s:
            return self._grant(waiting, best.track, now)
        if best.total_s * (1 + RUN_SPREAD) <= waiting.useful_until - now:
            waiting.wait_for(best, now)
            return None
        return self._decide_late(queue, waiting, options, now)

    def _within_shift(
        self,
        queue: ServiceQueue,
        options: list[Option],
        now: float,
    ) -> list[Option]:
        """Leave other regions out while too many requests move there."""
        region = queue.placement.region
        own = [option for option in options if option.track.region == region]
        disturbed = sum(option.track.is_disturbed(now) for option in own)
        if disturbed > MAX_DISTURBED_PART * len(own):
            self.shift_limiter.record_disturbance(now)
        if not own or self.shift_limiter.allows_shift(now):
            return options
        return own

    def _decide_late(
        self,
        queue: ServiceQueue,
        waiting: WaitingRequest,
        options: list[Option],
        now: float,
    ) -> Decision | None:
        """Decide on a request that would be late after the shortest wait."""
        free = [option for option in options if not option.wait_s]
        if free:
            soonest = min(free, key=lambda option: option.total_s)
            return self._grant(waiting, soonest.track, now)
        waited_s = now - waiting.since
        soonest = min(options, key=lambda option: option.wait_s)
        if waited_s + soonest.wait_s <= LATE_WAIT_S:
            waiting.wait_for(soonest, now)
            return None
        return self._refuse(queue, waiting, soonest)

    def _serve_queue_of(
        self,
        queue: ServiceQueue,
        track: TrackedTarget,
        now: float,
    ) -> list[tuple[str, Decision]]:
        decisions: list[tuple[str, Decision]] = []
        for waiting in list(queue.waiting):
            wanted = waiting.track
            if wanted is None or wanted.pool is not track.pool:
                continue
            if wanted.has_room(now):
                waiting.leave()
                queue.waiting.remove(waiting)
                granted = self._grant(waiting, wanted, now)
                decisions.append((waiting.entry_instance, granted))
        return decisions

    def _note_end(
        self,
        queue: ServiceQueue,
        track: TrackedTarget,
        started: RunningAttempt,
        done: AttemptReport,
        now: float,
    ) -> None:
        ratio = self._learn(queue, track, done, started.was_warm, now)
        track.end(done.ending, started.key, ratio, now)

    def _learn(
        self,
        queue: ServiceQueue,
        track: TrackedTarget,
        done: AttemptReport,
        was_warm: bool,
        now: float,
    ) -> float:
        """Learn a run time and return it in terms of the expected one."""
        times = queue.run_times
        run_s = max(done.run_s - track.distance_s, 0)
        queue.expect(run_s / FIRST_COLD_PART)
        if not times.miss_run_s:
            # Nothing is known of the service, and the run took no time that
            # could be told from its way.
            return 1
        expected = times.hit_run_s if was_warm else times.miss_run_s
        if done.ending is Ending.answered:
            times.mean_s += SMOOTHING * (run_s - times.mean_s)
        held = run_s < (times.hit_run_s + times.miss_run_s) / 2
        # A slow target says nothing of what it holds.
        cold_like = (
            1 / COLD_LIKE_RATIO < run_s / times.miss_run_s < COLD_LIKE_RATIO
        )
        if held or (cold_like and not track.is_disturbed(now)):
            self._learn_held(queue, track, done.key, held, was_warm)
        if not was_warm and held:
            # The target held the object although it was not known.
            return run_s / times.hit_run_s if times.hit_run_s else 1
        if was_warm and not held and track.is_full(times.kept):
            # It has let go of the object; it is not slow.
            expected = times.miss_run_s
        ratio = run_s / expected if expected else 1
        usual = not track.is_cold(now) and ratio < OUTLIER_RATIO
        if done.ending is Ending.answered and usual:
            queue.learn(run_s, was_warm=was_warm)
        return ratio

    def _learn_held(
        self,
        queue: ServiceQueue,
        track: TrackedTarget,
        key: str,
        held: bool,
        was_warm: bool,
    ) -> None:
        if not key:
            return
        times = queue.run_times
        if was_warm:
            times.note_known(held=held, full=track.is_full(times.kept))
        else:
            away = track.region != queue.placement.region
            times.note_presumed(held=held, away=away)
        track.kept = times.kept

    def _grant(
        self,
        waiting: WaitingRequest,
        track: TrackedTarget,
        now: float,
    ) -> Granted:
        ask = waiting.ask
        name = track.entry.name
        held = track.is_warm(ask.key)
        self._started[(waiting.entry_instance, ask.number)] = RunningAttempt(
            ask.service,
            name,
            ask.key,
            now + ask.left_s,
            was_warm=held,
        )
        track.start(ask.key, now)
        moved = track.region != self.queue(ask.service).placement.region
        self.shift_limiter.count_request(now, moved=moved)
        return Granted(
            ask.number,
            name,
            now - waiting.since,
            held,
            track.region,
        )

    def _refuse(
        self,
        queue: ServiceQueue,
        waiting: WaitingRequest,
        soonest: Option,
    ) -> Refused:
        retry_s = min(max(MIN_RETRY_S, soonest.wait_s), MAX_RETRY_S)
        return Refused(
            waiting.ask.number,
            RefusalReason.overload,
            retry_s,
            soonest.wait_s,
        )

    def _free(self, started: RunningAttempt, now: float) -> None:
        track = self.queue(started.service).tracks.get(started.target)
        if track is not None:
            track.end(Ending.withdrawn, started.key, 1, now)
