"""Admission control: gives each request a target's slot or a refusal.

A request is checked in this order: deadline, usable slots, rate of the
caller, cap on traffic from other regions. It then gets a free slot at once
or waits for one in the fair queue of its service. Its charges are refunded if
it did not run.
"""

import asyncio

import msgspec
from returns.result import Failure, Result, Success

from .clock import Clock
from .fairqueue import FairQueue, QueueFull, QueuedRequest
from .problems import Refusal
from .rates import RateLimiter
from .refusals import UNKNOWN_RETRY_S, queue_refusal, refusal_with_wait
from .settings import Target
from .shift import ShiftLimiter
from .slots import Slot, SlotOutcome, SlotSource
from .tracing import Tracer
from .types import Reason


class AdmissionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The properties of a request that decide on its admission.

    :param service: name of the service.
    :param caller: name of the caller.
    :param plan: name of the caller's plan.
    :param deadline_at: monotonic time of the request's deadline.
    :param origin_region: home region of the client.
    :param plan_weight: weight of the plan under overload.
    :param cost: weight of the request's kind, in rate tokens.
    :param exclude: names of targets not to use.
    :param charged: whether the rate was already charged, by an earlier
        attempt or by the instance that forwarded the request.
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
    """Charges of a request, which are refunded if it does not run.

    :param rate_charged: whether rate tokens were taken.
    :param shift_charged_at: monotonic time at which the request was counted
        under the shift cap; None if it was not.
    """

    rate_charged: bool = False
    shift_charged_at: float | None = None


class _Timer(msgspec.Struct, frozen=True):
    """The timer of the earliest deadline in the queue of a service."""

    due_at: float
    handle: asyncio.TimerHandle


_Waiter = tuple[AdmissionRequest, asyncio.Future[Result[Slot, Refusal]]]
_QueuedWaiter = QueuedRequest[_Waiter]


class AdmittedSlot(Slot):
    """A slot that refunds the charges if the request did not run.

    :param slot: the slot from the slot source.
    :param admission: the admission that charged the request.
    :param req: the request.
    :param charge: its charges.
    """

    __slots__ = ('_admission', '_charge', '_is_held', '_req', '_slot')

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
        self._is_held = True

    @property
    def target(self) -> Target:
        """The target that the slot belongs to."""
        return self._slot.target

    def release(self, outcome: SlotOutcome, latency_s: float) -> None:
        """Free the slot; further calls do nothing.

        :param outcome: how the attempt ended.
        :param latency_s: time from dispatch to the end, in seconds.
        """
        if not self._is_held:
            return
        self._is_held = False
        if outcome == SlotOutcome.not_run:
            self._admission.refund(self._req, self._charge)
        self._slot.release(outcome, latency_s)


class Admission:
    """Admits requests to the slots of this instance, or refuses them.

    :param clock: time source; must agree with the event loop's timers.
    :param slots: slots of the targets that this instance owns.
    :param rates: rate limits of callers.
    :param shift: cap on traffic from other regions.
    :param region: region of this instance.
    :param tracer: records a span for each wait in the queue.
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
        self._queues: dict[str, FairQueue[_Waiter]] = {}
        self._timers: dict[str, _Timer] = {}
        slots.on_free(self._dispatch)

    async def admit(self, req: AdmissionRequest) -> Result[Slot, Refusal]:
        """Return a slot for a request, or a refusal; may wait for a slot.

        :param req: the request.
        """
        charge = _Charge()
        refusal = self._check_and_charge(req, charge)
        if refusal is not None:
            return Failure(refusal)
        slot = None
        if not self.waiting_count(req.service):
            slot = self._acquire(req)
        if slot is not None:
            return Success(AdmittedSlot(slot, self, req, charge))
        try:
            with self._tracer.span('queue'):
                outcome = await self._wait_for_slot(req)
        except asyncio.CancelledError:
            self.refund(req, charge)
            raise
        if isinstance(outcome, Success):
            return Success(
                AdmittedSlot(outcome.unwrap(), self, req, charge),
            )
        self.refund(req, charge)
        return outcome

    def try_admit(self, req: AdmissionRequest) -> Result[Slot, Refusal]:
        """Return a slot for a request from a peer instance, without waiting.

        The peer has charged the rate. The request is refused while others
        wait here for its service, so that it cannot overtake them.

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
            self.refund(req, charge)
            return Failure(self._no_slot_refusal(req, 'No slot is free'))
        return Success(AdmittedSlot(slot, self, req, charge))

    def waiting_count(self, service: str) -> int:
        """Return how many requests are queued for a service.

        :param service: name of the service.
        """
        queue = self._queues.get(service)
        return len(queue) if queue else 0

    def refund(self, req: AdmissionRequest, charge: _Charge) -> None:
        """Refund the charges of a request that did not run.

        :param req: the request.
        :param charge: its charges.
        """
        if charge.rate_charged:
            charge.rate_charged = False
            self._rates.refund(req.caller, req.service, req.cost)
        if charge.shift_charged_at is not None:
            admitted_at = charge.shift_charged_at
            charge.shift_charged_at = None
            self._shift.refund(req.service, req.origin_region, admitted_at)

    def _check_and_charge(
        self,
        req: AdmissionRequest,
        charge: _Charge,
    ) -> Refusal | None:
        if req.deadline_at <= self._clock.now():
            return refusal_with_wait(
                req.plan, Reason.deadline, 'The deadline passed.', 0
            )
        if not self._slots.usable_slots(req.service):
            return self._no_slot_refusal(
                req, 'This instance has no usable slot'
            )
        if not req.charged:
            if not self._rates.try_charge(req.caller, req.service, req.cost):
                return self._rate_refusal(req)
            charge.rate_charged = True
        refusal = self._charge_shift(req, charge)
        if refusal is not None:
            self.refund(req, charge)
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
            charge.shift_charged_at = self._clock.now()
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

    async def _wait_for_slot(
        self, req: AdmissionRequest
    ) -> Result[Slot, Refusal]:
        queue = self._queues.get(req.service)
        if queue is None:
            queue = FairQueue(self._clock)
            self._queues[req.service] = queue
        fut = asyncio.get_running_loop().create_future()
        entry: _QueuedWaiter = QueuedRequest(
            req.caller,
            req.cost,
            req.deadline_at,
            (req, fut),
        )
        refused = queue.push(entry, req.plan_weight, _refuse_evicted)
        if refused is not None:
            return Failure(queue_refusal(req.plan, req.service, refused))
        self._dispatch(req.service)
        try:
            return await fut  # type: ignore[no-any-return]
        except asyncio.CancelledError:
            self._cancel_wait(queue, entry)
            raise

    def _cancel_wait(
        self, queue: FairQueue[_Waiter], entry: _QueuedWaiter
    ) -> None:
        """Remove a cancelled request from the queue, or free its slot."""
        queue.remove(entry)
        req, fut = entry.payload
        if fut.done() and not fut.cancelled():
            granted = fut.result()
            if isinstance(granted, Success):
                granted.unwrap().release(SlotOutcome.not_run, 0)
        self._set_timer(req.service)

    def _dispatch(self, service: str) -> None:
        queue = self._queues.get(service)
        entry = queue.head() if queue else None
        while queue and entry and self._try_dispatch(queue, entry):
            entry = queue.head()
        self._set_timer(service)

    def _try_dispatch(
        self, queue: FairQueue[_Waiter], entry: _QueuedWaiter
    ) -> bool:
        """Try to give a queued request a slot.

        :returns: whether the request left the queue.
        """
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
            # It must not block requests that can use the free slots.
            detail = 'Only targets that refused it are free'
            fut.set_result(Failure(self._no_slot_refusal(req, detail)))
            return queue.remove(entry)
        return False

    def _set_timer(self, service: str) -> None:
        """Set the timer of a service to the earliest deadline in its queue."""
        queue = self._queues.get(service)
        due_at = queue.next_deadline() if queue else None
        timer = self._timers.get(service)
        if due_at is None or (timer is not None and timer.due_at <= due_at):
            # A timer that fires too early only sets the next one.
            return
        if timer is not None:
            timer.handle.cancel()
        handle = asyncio.get_running_loop().call_later(
            max(due_at - self._clock.now(), 0),
            self._expire,
            service,
        )
        self._timers[service] = _Timer(due_at, handle)

    def _expire(self, service: str) -> None:
        queue = self._queues[service]
        self._timers.pop(service)
        for entry in queue.pop_expired():
            req, fut = entry.payload
            if not fut.done():
                fut.set_result(Failure(_expiry_refusal(req, queue)))
        self._dispatch(service)

    def _rate_refusal(self, req: AdmissionRequest) -> Refusal:
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

    def _no_slot_refusal(self, req: AdmissionRequest, detail: str) -> Refusal:
        queue = self._queues.get(req.service)
        per_s = queue.dequeue_per_s if queue else None
        wait_s = req.cost / per_s if per_s else UNKNOWN_RETRY_S
        return refusal_with_wait(
            req.plan,
            Reason.no_slot,
            f'{detail} for {req.service}.',
            wait_s,
        )


def _expiry_refusal(
    req: AdmissionRequest, queue: FairQueue[_Waiter]
) -> Refusal:
    wait_s = queue.estimated_wait_s(req.caller, req.cost, req.plan_weight)
    return refusal_with_wait(
        req.plan,
        Reason.deadline,
        f'The deadline passed in the queue of {req.service}.',
        wait_s or UNKNOWN_RETRY_S,
    )


def _refuse_evicted(entry: _QueuedWaiter) -> None:
    req, fut = entry.payload
    if not fut.done():
        refused = queue_refusal(
            req.plan, req.service, QueueFull(UNKNOWN_RETRY_S)
        )
        fut.set_result(Failure(refused))
