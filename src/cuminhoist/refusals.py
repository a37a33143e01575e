"""Refusals of requests that certainly did not run."""

from returns.result import Failure

from .fairqueue import Full, TooLate
from .problems import Refusal
from .types import Ran, Reason

#: Retry time where nothing better is known: about one cold-start step.
UNKNOWN_RETRY_S = 2.0
#: Longer estimates mean that nothing drains; the next look is then due.
MAX_RETRY_S = 30.0


def refuse(
    reason: Reason,
    detail: str,
    plan: str = '',
    retry_after_ms: int = 0,
) -> Failure[Refusal]:
    """Return the refusal of a request that was not run.

    :param reason: why it is refused.
    :param detail: one sentence for a person.
    :param plan: plan of the caller, if known.
    :param retry_after_ms: when to try again.
    """
    return Failure(
        Refusal(
            ran=Ran.not_run,
            reason=reason,
            detail=detail,
            plan=plan,
            retry_after_ms=retry_after_ms,
        ),
    )


def refusal_with_wait(
    plan: str, reason: Reason, detail: str, wait_s: float
) -> Refusal:
    """Return a refusal of a request that did not run.

    :param plan: plan of the caller.
    :param reason: why it is refused.
    :param detail: one sentence for a person.
    :param wait_s: estimated time until it may come again; may be infinite.
    """
    return Refusal(
        ran=Ran.not_run,
        reason=reason,
        detail=detail,
        plan=plan,
        retry_after_ms=max(int(min(wait_s, MAX_RETRY_S) * 1000), 1),
    )


def queue_refusal(plan: str, service: str, refused: Full | TooLate) -> Refusal:
    """Return the refusal of a request that cannot wait.

    :param plan: plan of the caller.
    :param service: name of the service.
    :param refused: why it cannot wait.
    """
    if isinstance(refused, Full):
        reason, detail = Reason.queue_full, f'The queue of {service} is full.'
    else:
        reason = Reason.deadline
        detail = f'The wait for {service} would exceed the deadline.'
    return refusal_with_wait(plan, reason, detail, refused.retry_after_s)
