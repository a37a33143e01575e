"""Counts the slots of owned targets and chooses a target for a request.

A target must never get more requests at once than it has slots. A slot whose
request may still run after its end here (a timeout, a crash of the former
owner) is quarantined until the request's deadline has passed.
"""

import itertools
from collections.abc import Callable

import msgspec

from .clock import Clock
from .exceptions import InvariantError
from .health import EJECT_AFTER_FAILURES, TargetHealth, latency_bucket
from .heartbeats import Handover, ServiceSlots
from .membership import Membership
from .ownership import Ownership
from .settings import Target, Topology
from .slot_handover import DEADLINE_MARGIN_S, SlotHandover
from .slots import Slot, SlotOutcome, SlotSource

#: Allows for the time between two readings of the clock in one request.
_DEADLINE_TOLERANCE_S = 0.1
#: Whether a target is leaving is cached this long, so an announced drain
#: starts at most this late.
LEAVING_CHECK_LIFETIME_S = 0.1

_Listener = Callable[[str], None]


class QuarantinedSlots(msgspec.Struct, frozen=True):
    """Slots that stay unused because requests may still run in them.

    :param count: number of slots.
    :param until: monotonic time at which they become free.
    """

    count: int
    until: float


class Preference(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Sort key of a target; the target with the smallest is chosen.

    :param failing: whether a request failed a short time ago.
    :param in_use_per_slot: requests in progress by usable slots.
    :param latency: bucket of the latency.
    :param load: load that the target reports.
    :param name: name of the target.
    """

    failing: bool
    in_use_per_slot: float
    latency: int
    load: float
    name: str


class LeavingCheck(msgspec.Struct, frozen=True):
    """Cached result of the check whether a target is leaving.

    :param revision: revision of the membership at the check.
    :param until: monotonic time from which the check is repeated, as a drain
        may have started.
    """

    is_leaving: bool
    revision: int
    until: float


class TargetSlots:
    """Slots and health of one target.

    :param target: the target.
    """

    def __init__(self, target: Target) -> None:
        self.target = target
        self.health = TargetHealth()
        # Deadline of the request in each used slot, by number of the slot.
        self.running: dict[int, float] = {}
        self.quarantines: list[QuarantinedSlots] = []
        # Whether the target was leaving when it was last considered.
        self.was_leaving = False
        self.leaving_check: LeavingCheck | None = None

    def quarantined(self, now: float) -> int:
        """Return the number of quarantined slots.

        :param now: monotonic time.
        """
        if self.quarantines:
            self.quarantines = [
                slots for slots in self.quarantines if slots.until > now
            ]
        return sum(slots.count for slots in self.quarantines)

    def usable(self, now: float) -> int:
        """Return the number of slots that may be in use.

        :param now: monotonic time.
        """
        available = self.target.slots
        if self.quarantines:
            available = max(0, available - self.quarantined(now))
        limit = self.health.slot_limit(self.target.slots, now)
        return min(available, limit)

    def free(self, now: float) -> int:
        """Return the number of usable slots that are not in use.

        :param now: monotonic time.
        """
        return max(0, self.usable(now) - len(self.running))

    def preference(self, now: float) -> Preference:
        """Return the sort key of the target in the choice of a target.

        :param now: monotonic time.
        """
        return Preference(
            self.health.is_failing(now),
            len(self.running) / max(1, self.usable(now)),
            latency_bucket(self.health.latency_s),
            self.health.fresh_load(now),
            self.target.name,
        )


class _AcquiredSlot(Slot):
    def __init__(
        self,
        table: 'SlotTable',
        state: TargetSlots,
        number: int,
    ) -> None:
        self._table = table
        self._state = state
        self._number = number

    @property
    def target(self) -> Target:
        return self._state.target

    def release(self, outcome: SlotOutcome, latency_s: float) -> None:
        self._table.free_slot(self._state, self._number, outcome, latency_s)


class SlotTable(SlotSource, SlotHandover):
    """Counts the slots of the targets of this failure domain.

    :param topology: the deployment.
    :param membership: tells which targets are leaving.
    :param clock: time source.
    """

    def __init__(
        self,
        topology: Topology,
        membership: Membership,
        clock: Clock,
    ) -> None:
        domain = topology.instance(membership.name).domain
        self._membership = membership
        self._clock = clock
        self._entry_count = len(
            topology.domain_entry_instances(membership.name)
        )
        self._ownership: Ownership | None = None
        self._listeners: list[_Listener] = []
        self._numbers = itertools.count()
        self._longest_deadline_s: dict[str, float] = {
            service.name: service.longest_deadline_s
            for service in topology.services
        }
        self._states: dict[str, TargetSlots] = {
            target.name: TargetSlots(target)
            for target in topology.targets
            if target.domain == domain
        }
        self._services: dict[str, list[TargetSlots]] = {}
        for state in self._states.values():
            self._services.setdefault(state.target.service, []).append(state)

    def attach_ownership(self, ownership: Ownership) -> None:
        """Set the ownership; without it no slot is usable.

        :param ownership: ownership of this instance.
        """
        self._ownership = ownership

    def state(self, target: str) -> TargetSlots:
        """Return slots and health of a target of this domain.

        :param target: name of the target.
        """
        return self._states[target]

    def connection_share(self, target: str) -> int:
        """Return how many connections this instance may keep to a target.

        It is at least one. Each entry instance of the domain has an equal
        share of the target's connection limit, as former owners may still
        have connections.

        :param target: name of the target.
        """
        return max(
            1, self._states[target].target.connections // self._entry_count
        )

    def try_acquire(
        self,
        service: str,
        deadline_at: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Slot | None:
        """Return a slot of the preferred target, or None if none is free.

        :param service: name of the service.
        :param deadline_at: monotonic time of the request's deadline.
        :param exclude: names of targets not to use.
        """
        now = self._clock.now()
        if now >= deadline_at:
            return None
        chosen = min(
            (
                state
                for state in self._usable_targets(service, now)
                if state.target.name not in exclude and state.free(now) > 0
            ),
            key=lambda state: state.preference(now),
            default=None,
        )
        if chosen is None:
            return None
        if (
            deadline_at
            > now + self._longest_deadline_s[service] + _DEADLINE_TOLERANCE_S
        ):
            # After a crash of this instance, the quarantine at the next owner
            # would end before such a deadline.
            raise InvariantError(
                f'deadline of a request to {service} is later than allowed'
            )
        number = next(self._numbers)
        chosen.running[number] = deadline_at
        return _AcquiredSlot(self, chosen, number)

    def usable_slots(self, service: str) -> int:
        """Return how many slots of a service may be in use.

        :param service: name of the service.
        """
        now = self._clock.now()
        return sum(
            state.usable(now) for state in self._usable_targets(service, now)
        )

    def free_slots(self, service: str) -> int:
        """Return how many slots of a service are free now.

        :param service: name of the service.
        """
        now = self._clock.now()
        return sum(
            state.free(now) for state in self._usable_targets(service, now)
        )

    def on_free(self, listener: Callable[[str], None]) -> None:
        """Add a listener that is called when a slot becomes free.

        :param listener: called with the name of the service.
        """
        self._listeners.append(listener)

    def free_slot(
        self,
        state: TargetSlots,
        number: int,
        outcome: SlotOutcome,
        latency_s: float,
    ) -> None:
        """End the use of a slot; called by the slot itself.

        :param state: the target.
        :param number: number of the slot.
        :param outcome: how its use ended.
        :param latency_s: seconds from dispatch to the end.
        """
        deadline_at = state.running.pop(number, None)
        if deadline_at is None:
            return
        now = self._clock.now()
        state.health.record_outcome(outcome, latency_s, now)
        if outcome == SlotOutcome.unknown:
            until = deadline_at + DEADLINE_MARGIN_S
            state.quarantines.append(QuarantinedSlots(1, until))
            if now >= deadline_at:
                state.health.record_timeout(now)
        self.eject_if_failing(state.target.name)
        if outcome != SlotOutcome.unknown:
            self._notify(state.target.service)

    def eject_if_failing(self, target: str) -> None:
        """Eject a target after too many failures in a row.

        Each owner ejects at most half of the targets of a service that it
        owns, which limits ejections to half of the targets in the domain
        without coordination. A target that may not be ejected keeps one slot.

        :param target: name of the target.
        """
        state = self._states[target]
        if state.health.failures < EJECT_AFTER_FAILURES:
            return
        now = self._clock.now()
        owned = [
            other
            for other in self._services[state.target.service]
            if self._owns(other)
        ]
        ejected = sum(other.health.is_ejected(now) for other in owned)
        allowed = self._owns(state) and 2 * (ejected + 1) <= len(owned)
        state.health.eject(now, allowed=allowed)

    def notify_freed_slots(self) -> None:
        """Notify listeners of slots that became free as time passed.

        Slots become free when a quarantine or an ejection ends. Slow starts of
        targets that are no longer leaving begin here too.
        """
        now = self._clock.now()
        for service, states in self._services.items():
            self._end_excess_ejections(states, now)
            if self.free_slots(service):
                self._notify(service)

    def handover_state(self, target: str) -> Handover:
        """Return how many requests may still run at a target, and how long.

        :param target: name of the target.
        """
        now = self._clock.now()
        state = self._states[target]
        quarantined = state.quarantined(now)
        ends = [slots.until for slots in state.quarantines]
        ends.extend(at + DEADLINE_MARGIN_S for at in state.running.values())
        remaining_s = max(ends, default=now) - now
        return Handover(quarantined + len(state.running), max(0, remaining_s))

    def take_over(self, target: str, handover: Handover) -> None:
        """Take over a target whose former owner left requests running.

        :param target: name of the target.
        :param handover: slots to leave unused, and for how long.
        """
        now = self._clock.now()
        state = self._states[target]
        if handover.running:
            until = now + handover.remaining_s
            state.quarantines.append(QuarantinedSlots(handover.running, until))
        # Observations from an earlier time as owner are out of date.
        state.health = TargetHealth()
        if handover.running >= state.target.slots:
            state.health.begin_slow_start(now + handover.remaining_s)

    def slots_by_service(self) -> dict[str, ServiceSlots]:
        """Return the slots of each service at owned targets."""
        now = self._clock.now()
        for states in self._services.values():
            self._end_excess_ejections(states, now)
        return {
            service: ServiceSlots(
                self.free_slots(service),
                self.usable_slots(service),
            )
            for service in self._services
        }

    def _end_excess_ejections(
        self, states: list[TargetSlots], now: float
    ) -> None:
        """End ejections of more than half of the owned targets.

        There can be more than half after other instances took targets over.
        The ejections that would end first are ended.
        """
        owned = [state for state in states if self._owns(state)]
        ejected = [state for state in owned if state.health.is_ejected(now)]
        ejected.sort(key=lambda state: state.health.ejected_until)
        for state in ejected[: len(ejected) - len(owned) // 2]:
            state.health.ejected_until = now
            state.health.begin_slow_start(now)

    def _owns(self, state: TargetSlots) -> bool:
        return self._ownership is not None and self._ownership.owns(
            state.target.name,
        )

    def _usable_targets(self, service: str, now: float) -> list[TargetSlots]:
        """Return the owned targets of a service that are not leaving."""
        ownership = self._ownership
        if ownership is None or not ownership.holds_lease():
            return []
        owned = ownership.held
        return [
            state
            for state in self._services.get(service, ())
            if state.target.name in owned and self._is_available(state, now)
        ]

    def _is_leaving(self, state: TargetSlots, now: float) -> bool:
        # Cached, because reading all sources for each request took a third
        # of its time.
        check = state.leaving_check
        revision = self._membership.revision
        if check and check.revision == revision and now < check.until:
            return check.is_leaving
        is_leaving = self._membership.is_target_leaving(state.target.name)
        state.leaving_check = LeavingCheck(
            is_leaving, revision, now + LEAVING_CHECK_LIFETIME_S
        )
        return is_leaving

    def _is_available(self, state: TargetSlots, now: float) -> bool:
        """Return whether a target is in use; begin a slow start if needed.

        A target that is no longer leaving starts slowly, and is available
        from the next call on.
        """
        if self._is_leaving(state, now):
            state.was_leaving = True
            return False
        if state.was_leaving:
            state.was_leaving = False
            state.health.begin_slow_start(now)
            return False
        return True

    def _notify(self, service: str) -> None:
        for listener in self._listeners:
            listener(service)
