"""Slots of the targets that this instance owns, and the choice of one."""

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

#: Difference of two readings of the clock within one request's path.
_EPSILON_S = 0.1
#: An announced drain starts at most this late.
JUDGE_S = 0.1

_Listener = Callable[[str], None]


class QuarantinedSlots(msgspec.Struct, frozen=True):
    """Slots that stay unused because requests may still run in them.

    :param until: monotonic time at which they are free.
    """

    count: int
    until: float


class Preference(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The order of choice; the smallest is used."""

    failing: bool
    in_use_per_slot: float
    latency: int
    load: float
    name: str


class LeavingCheck(msgspec.Struct, frozen=True):
    """Whether a target is leaving, as far as is known.

    :param revision: revision of the membership that it was judged by.
    :param until: monotonic time from which drains have to be read again.
    """

    is_leaving: bool
    revision: int
    until: float


class TargetSlots:
    """Slots and observations of one target.

    :param target: the target.
    """

    def __init__(self, target: Target) -> None:
        self.target = target
        self.health = TargetHealth()
        self.running: dict[int, float] = {}
        self.reserved: list[QuarantinedSlots] = []
        self.is_out = False
        self.judged: LeavingCheck | None = None

    def blocked(self, now: float) -> int:
        """Return the slots that are unused but may not be given out.

        :param now: monotonic time.
        """
        if self.reserved:
            self.reserved = [res for res in self.reserved if res.until > now]
        return sum(res.count for res in self.reserved)

    def usable(self, now: float) -> int:
        """Return the slots that may be in use.

        :param now: monotonic time.
        """
        left = self.target.slots
        if self.reserved:
            left = max(0, left - self.blocked(now))
        limit = self.health.limit(self.target.slots, now)
        return min(left, limit)

    def free(self, now: float) -> int:
        """Return the slots that may be taken.

        :param now: monotonic time.
        """
        return max(0, self.usable(now) - len(self.running))

    def preference(self, now: float) -> Preference:
        """Return the place of the target in the order of choice.

        :param now: monotonic time.
        """
        return Preference(
            self.health.is_failing(now),
            len(self.running) / max(1, self.usable(now)),
            latency_bucket(self.health.latency_s),
            self.health.fresh_load(now),
            self.target.name,
        )


class _TakenSlot(Slot):
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
    :param membership: says which targets are leaving.
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
        self._cell_size = len(topology.domain_entry_instances(membership.name))
        self._ownership: Ownership | None = None
        self._listeners: list[_Listener] = []
        self._numbers = itertools.count()
        self._longest_s: dict[str, float] = {
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
        """Set what decides on the right to dispatch; needed before use.

        :param ownership: ownership of this instance.
        """
        self._ownership = ownership

    def state(self, target: str) -> TargetSlots:
        """Return slots and observations of a target of this domain.

        :param target: name of the target.
        """
        return self._states[target]

    def connection_share(self, target: str) -> int:
        """Return how many connections this instance may keep to a target.

        Former owners may still have connections, so that each instance of
        the cell has an equal share of the target's bound.

        :param target: name of the target.
        """
        return max(
            1, self._states[target].target.connections // self._cell_size
        )

    def try_acquire(
        self,
        service: str,
        deadline_at: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Slot | None:
        """Return a slot of the best target, or None if none is free.

        :param service: name of the service.
        :param deadline_at: monotonic time of the request's deadline.
        :param exclude: names of targets not to use.
        """
        now = self._clock.now()
        if now >= deadline_at:
            return None
        best = min(
            (
                state
                for state in self._working(service, now)
                if state.target.name not in exclude and state.free(now) > 0
            ),
            key=lambda state: state.preference(now),
            default=None,
        )
        if best is None:
            return None
        if deadline_at > now + self._longest_s[service] + _EPSILON_S:
            # Quarantine after a crash relies on this bound.
            raise InvariantError(f'deadline of {service} is too long')
        number = next(self._numbers)
        best.running[number] = deadline_at
        return _TakenSlot(self, best, number)

    def usable_slots(self, service: str) -> int:
        """Return how many slots of a service may be used, free or not.

        :param service: name of the service.
        """
        now = self._clock.now()
        return sum(state.usable(now) for state in self._working(service, now))

    def free_slots(self, service: str) -> int:
        """Return how many slots of a service are free now.

        :param service: name of the service.
        """
        now = self._clock.now()
        return sum(state.free(now) for state in self._working(service, now))

    def on_free(self, listener: Callable[[str], None]) -> None:
        """Call a listener with the service when a slot becomes free.

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
        :param latency_s: time from dispatch to the end.
        """
        deadline_at = state.running.pop(number, None)
        if deadline_at is None:
            return
        now = self._clock.now()
        state.health.note(outcome, latency_s, now)
        if outcome == SlotOutcome.unknown:
            until = deadline_at + DEADLINE_MARGIN_S
            state.reserved.append(QuarantinedSlots(1, until))
            if now >= deadline_at:
                state.health.note_timeout(now)
        self.judge(state.target.name)
        if outcome != SlotOutcome.unknown:
            self._notify(state.target.service)

    def judge(self, target: str) -> None:
        """Eject a target after too many failures in a row.

        Each owner ejects at most half of the targets that it owns, so at
        most half of all targets of the domain are ejected without any
        agreement. A target that may not be ejected keeps one slot.

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
        """Begin slow starts and announce slots that became free by time."""
        now = self._clock.now()
        for service, states in self._services.items():
            self._trim(states, now)
            if self.free_slots(service):
                self._notify(service)

    def handover_state(self, target: str) -> Handover:
        """Return what may still run at a target.

        :param target: name of the target.
        """
        now = self._clock.now()
        state = self._states[target]
        blocked = state.blocked(now)
        ends = [res.until for res in state.reserved]
        ends.extend(at + DEADLINE_MARGIN_S for at in state.running.values())
        remaining_s = max(ends, default=now) - now
        return Handover(blocked + len(state.running), max(0, remaining_s))

    def take_over(self, target: str, handover: Handover) -> None:
        """Take over a target whose former owner left requests running.

        :param target: name of the target.
        :param handover: slots to leave unused, and for how long.
        """
        now = self._clock.now()
        state = self._states[target]
        if handover.running:
            until = now + handover.remaining_s
            state.reserved.append(QuarantinedSlots(handover.running, until))
        # What the last owner observed is older than what it did since.
        state.health = TargetHealth()
        if handover.running >= state.target.slots:
            state.health.restart(now + handover.remaining_s)

    def slots_by_service(self) -> dict[str, ServiceSlots]:
        """Return the slots of each service at targets that are owned."""
        now = self._clock.now()
        for states in self._services.values():
            self._trim(states, now)
        return {
            service: ServiceSlots(
                self.free_slots(service),
                self.usable_slots(service),
            )
            for service in self._services
        }

    def _trim(self, states: list[TargetSlots], now: float) -> None:
        """End ejections above half, after targets went to other owners."""
        owned = [state for state in states if self._owns(state)]
        ejected = [state for state in owned if state.health.is_ejected(now)]
        ejected.sort(key=lambda state: state.health.ejected_until)
        for state in ejected[: len(ejected) - len(owned) // 2]:
            state.health.ejected_until = now
            state.health.restart(now)

    def _owns(self, state: TargetSlots) -> bool:
        return self._ownership is not None and self._ownership.owns(
            state.target.name,
        )

    def _working(self, service: str, now: float) -> list[TargetSlots]:
        """Return the own targets of a service that take work."""
        ownership = self._ownership
        if ownership is None or not ownership.holds_lease():
            return []
        held = ownership.held
        return [
            state
            for state in self._services.get(service, ())
            if state.target.name in held and self._takes_work(state, now)
        ]

    def _is_leaving(self, state: TargetSlots, now: float) -> bool:
        # The sources are many; to read them for each request took a third
        # of its time.
        judged = state.judged
        revision = self._membership.revision
        if judged and judged.revision == revision and now < judged.until:
            return judged.is_leaving
        is_leaving = self._membership.is_target_leaving(state.target.name)
        state.judged = LeavingCheck(is_leaving, revision, now + JUDGE_S)
        return is_leaving

    def _takes_work(self, state: TargetSlots, now: float) -> bool:
        if self._is_leaving(state, now):
            state.is_out = True
            return False
        if state.is_out:
            state.is_out = False
            state.health.restart(now)
            return False
        return True

    def _notify(self, service: str) -> None:
        for listener in self._listeners:
            listener(service)
