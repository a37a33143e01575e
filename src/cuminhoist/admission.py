"""Admission of requests: rate, shift cap, queue, slot."""

import asyncio

import msgspec
from returns.result import Failure, Result, Success

from .clock import Clock
from .fairqueue import FairQueue, Full, QueuedRequest
from .problems import Refusal
from .rates import RateLimiter
from .refusals import UNKNOWN_RETRY_S, queue_refusal, refusal_with_wait
from .settings import Target
from .shift import ShiftLimiter
from .slots import Slot, SlotOutcome, SlotSource
from .tracing import Tracer
from .types import Reason


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What admission needs to know about a request.

    :param plan: name of the caller's plan.
    :param plan_weight: share of the plan under overload.
    :param cost: weight of the request's kind.
    :param deadline_at: monotonic time of its deadline.
    :param origin_region: its home region.
    :param exclude: names of targets not to use.
    :param charged: whether the rate was already charged, by an earlier
        attempt or by the instance that sent the request here.
    """

    service: str
    caller: str
    plan: str
    deadline_at: float
    origin_region: str
    plan_weight: float = 1
    cost: float = 1
    exclude: frozenset[str] = frozenset()
    charged: bool = False


class _Charge(msgspec.Struct):
    """What a request was charged before it got a slot."""

    rate: bool = False
    shift_at: float | None = None


class _Timer(msgspec.Struct, frozen=True):
    """The timer of a service's earliest deadline."""

    due: float
    handle: asyncio.TimerHandle


_Waiting = tuple[AdmissionRequest, asyncio.Future[Result[Slot, Refusal]]]
_Entry = QueuedRequest[_Waiting]


class AdmittedSlot(Slot):
    """A slot that returns the tokens if the request did not run.

    :param slot: the slot of the source.
    :param admission: what charged the request.
    :param req: the request.
    :param charge: what it was charged.
    """

    __slots__ = ('_admission', '_charge', '_open', '_req', '_slot')

    def __init__(
        self,
        slot: Slot,
        admission: 'Admission',
        req: AdmissionRequest,
        charge: _Charge,
    ) -> None:
        self._slot = slot
        self._admission = admission
        self._req = req
        self._charge = charge
        self._open = True

    @property
    def target(self) -> Target:
        """The target that the slot belongs to."""
        return self._slot.target

    def release(self, outcome: SlotOutcome, latency_s: float) -> None:
        """End the use of the slot; further calls do nothing.

        :param outcome: how it ended.
        :param latency_s: time from dispatch to the end, in seconds.
        """
        if not self._open:
            return
        self._open = False
        if outcome == SlotOutcome.not_run:
            self._admission.give_back(self._req, self._charge)
        self._slot.release(outcome, latency_s)


class Admission:
    """Decides which requests get a slot, and when.

    :param clock: time source; must agree with the event loop's timers.
    :param slots: slots of the targets that this instance owns.
    :param rates: rates of callers.
    :param shift: cap on traffic of other regions.
    :param region: region of this instance.
    :param tracer: makes a span for each wait.
    """

    def __init__(
        self,
        clock: Clock,
        slots: SlotSource,
        rates: RateLimiter,
        shift: ShiftLimiter,
        region: str,
        tracer: Tracer | None = None,
    ) -> None:
        self._clock = clock
        self._slots = slots
        self._rates = rates
        self._shift = shift
        self._region = region
        self._tracer = tracer or Tracer()
        self._queues: dict[str, FairQueue[_Waiting]] = {}
        self._timers: dict[str, _Timer] = {}
        slots.on_free(self._dispatch)

    async def admit(self, req: AdmissionRequest) -> Result[Slot, Refusal]:
        """Return a slot for a request, or why it gets none.

        :param req: the request.
        """
        charge = _Charge()
        refusal = self._charge(req, charge)
        if refusal is not None:
            return Failure(refusal)
        slot = None
        if not self.waiting_count(req.service):
            slot = self._acquire(req)
        if slot is not None:
            return Success(AdmittedSlot(slot, self, req, charge))
        try:
            with self._tracer.span('queue'):
                outcome = await self._wait(req)
        except asyncio.CancelledError:
            self.give_back(req, charge)
            raise
        if isinstance(outcome, Success):
            return Success(
                AdmittedSlot(outcome.unwrap(), self, req, charge),
            )
        self.give_back(req, charge)
        return outcome

    def try_admit(self, req: AdmissionRequest) -> Result[Slot, Refusal]:
        """Return a slot for a request of a peer instance, without waiting.

        The peer has charged the rate. Requests that wait here go first.

        :param req: the request.
        """
        charge = _Charge()
        refusal = self._charge_shift(req, charge)
        if refusal is not None:
            return Failure(refusal)
        slot = None
        if not self.waiting_count(req.service):
            slot = self._acquire(req)
        if slot is None:
            self.give_back(req, charge)
            return Failure(self._no_slot(req, 'No slot is free'))
        return Success(AdmittedSlot(slot, self, req, charge))

    def waiting_count(self, service: str) -> int:
        """Return how many requests wait for a service.

        :param service: name of the service.
        """
        queue = self._queues.get(service)
        return len(queue) if queue else 0

    def give_back(self, req: AdmissionRequest, charge: _Charge) -> None:
        """Return what a request was charged that did not run.

        :param req: the request.
        :param charge: what it was charged.
        """
        if charge.rate:
            charge.rate = False
            self._rates.refund(req.caller, req.service, req.cost)
        if charge.shift_at is not None:
            admitted_at = charge.shift_at
            charge.shift_at = None
            self._shift.give_back(req.service, req.origin_region, admitted_at)

    def _charge(
        self,
        req: AdmissionRequest,
        charge: _Charge,
    ) -> Refusal | None:
        if req.deadline_at <= self._clock.now():
            return refusal_with_wait(
                req.plan, Reason.deadline, 'The deadline passed.', 0
            )
        if not self._slots.usable_slots(req.service):
            return self._no_slot(req, 'This instance has no usable slot')
        if not req.charged:
            if not self._rates.try_charge(req.caller, req.service, req.cost):
                return self._rate_exceeded(req)
            charge.rate = True
        refusal = self._charge_shift(req, charge)
        if refusal is not None:
            self.give_back(req, charge)
        return refusal

    def _charge_shift(
        self,
        req: AdmissionRequest,
        charge: _Charge,
    ) -> Refusal | None:
        if req.origin_region == self._region:
            return None
        refused = self._shift.try_admit(req.service, req.origin_region)
        if refused is None:
            charge.shift_at = self._clock.now()
            return None
        return refusal_with_wait(
            req.plan,
            Reason.shift_cap,
            f'Traffic from {req.origin_region} is at its cap.',
            refused.retry_after_s,
        )

    def _acquire(self, req: AdmissionRequest) -> Slot | None:
        return self._slots.try_acquire(
            req.service,
            req.deadline_at,
            req.exclude,
        )

    async def _wait(self, req: AdmissionRequest) -> Result[Slot, Refusal]:
        queue = self._queues.get(req.service)
        if queue is None:
            queue = FairQueue(self._clock)
            self._queues[req.service] = queue
        fut = asyncio.get_running_loop().create_future()
        entry: _Entry = QueuedRequest(
            req.caller,
            req.cost,
            req.deadline_at,
            (req, fut),
        )
        refused = queue.push(entry, req.plan_weight, _evict)
        if refused is not None:
            return Failure(queue_refusal(req.plan, req.service, refused))
        self._dispatch(req.service)
        try:
            return await fut  # type: ignore[no-any-return]
        except asyncio.CancelledError:
            self._abandon(queue, entry)
            raise

    def _abandon(self, queue: FairQueue[_Waiting], entry: _Entry) -> None:
        """End the wait of a cancelled request, before or after its grant."""
        queue.remove(entry)
        req, fut = entry.payload
        if fut.done() and not fut.cancelled():
            granted = fut.result()
            if isinstance(granted, Success):
                granted.unwrap().release(SlotOutcome.not_run, 0)
        self._arm(req.service)

    def _dispatch(self, service: str) -> None:
        queue = self._queues.get(service)
        entry = queue.head() if queue else None
        while queue and entry and self._settle(queue, entry):
            entry = queue.head()
        self._arm(service)

    def _settle(self, queue: FairQueue[_Waiting], entry: _Entry) -> bool:
        """Give the first waiting request a slot; tell whether it left."""
        req, fut = entry.payload
        if fut.done():
            return queue.remove(entry)
        if req.deadline_at <= self._clock.now():
            return False
        slot = self._acquire(req)
        if slot is not None:
            queue.pop()
            fut.set_result(Success(slot))
            return True
        if req.exclude and self._slots.free_slots(req.service):
            # It must not block those that the free slots would suit.
            detail = 'Only targets that refused it are free'
            fut.set_result(Failure(self._no_slot(req, detail)))
            return queue.remove(entry)
        return False

    def _arm(self, service: str) -> None:
        """Set the timer of a service to its earliest deadline."""
        queue = self._queues.get(service)
        due = queue.next_deadline() if queue else None
        armed = self._timers.get(service)
        if due is None or (armed is not None and armed.due <= due):
            # An early timer finds nothing to do and sets the next one.
            return
        if armed is not None:
            armed.handle.cancel()
        handle = asyncio.get_running_loop().call_later(
            max(due - self._clock.now(), 0),
            self._expire,
            service,
        )
        self._timers[service] = _Timer(due, handle)

    def _expire(self, service: str) -> None:
        queue = self._queues[service]
        self._timers.pop(service)
        for entry in queue.expired():
            req, fut = entry.payload
            if not fut.done():
                fut.set_result(Failure(_expired(req, queue)))
        self._dispatch(service)

    def _rate_exceeded(self, req: AdmissionRequest) -> Refusal:
        detail = f'The rate of plan {req.plan} for {req.service} is used up.'
        if not self._rates.fits(req.caller, req.service, req.cost):
            detail = (
                f'The burst of plan {req.plan} for {req.service}, divided by '
                f'the instances, is below the weight {req.cost:g}.'
            )
        return refusal_with_wait(
            req.plan,
            Reason.rate_exceeded,
            detail,
            self._rates.wait_s(req.caller, req.service, req.cost),
        )

    def _no_slot(self, req: AdmissionRequest, detail: str) -> Refusal:
        queue = self._queues.get(req.service)
        per_s = queue.drain_per_s if queue else None
        wait_s = req.cost / per_s if per_s else UNKNOWN_RETRY_S
        return refusal_with_wait(
            req.plan,
            Reason.no_slot,
            f'{detail} for {req.service}.',
            wait_s,
        )


def _expired(req: AdmissionRequest, queue: FairQueue[_Waiting]) -> Refusal:
    wait_s = queue.estimated_wait_s(req.caller, req.cost, req.plan_weight)
    return refusal_with_wait(
        req.plan,
        Reason.deadline,
        f'The deadline passed in the queue of {req.service}.',
        wait_s or UNKNOWN_RETRY_S,
    )


def _evict(entry: _Entry) -> None:
    req, fut = entry.payload
    if not fut.done():
        refused = queue_refusal(req.plan, req.service, Full(UNKNOWN_RETRY_S))
        fut.set_result(Failure(refused))
