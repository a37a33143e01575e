"""Builds refusals of requests that certainly did not run."""

from returns.result import Failure

from .fairqueue import QueueFull, WaitTooLong
from .problems import Refusal
from .types import Ran, Reason

#: Retry time without an estimate: about one step of a target's warm-up.
UNKNOWN_RETRY_S = 2.0
#: Longest retry time. Higher estimates mean that no request is dispatched;
#: the caller should then retry to see whether this has changed.
MAX_RETRY_S = 30.0


def refuse(
    reason: Reason,
    detail: str,
    plan: str = '',
    retry_after_ms: int = 0,
) -> Failure[Refusal]:
    """Return a refusal as the result of a request that was not run.

    :param reason: why it is refused.
    :param detail: one sentence for a person.
    :param plan: plan of the caller, if known.
    :param retry_after_ms: time to the retry, in milliseconds.
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
    :param wait_s: estimated time to a retry, in seconds; may be infinite.
    """
    return Refusal(
        ran=Ran.not_run,
        reason=reason,
        detail=detail,
        plan=plan,
        retry_after_ms=max(int(min(wait_s, MAX_RETRY_S) * 1000), 1),
    )


def queue_refusal(
    plan: str, service: str, refused: QueueFull | WaitTooLong
) -> Refusal:
    """Return the refusal of a request that the queue did not take.

    :param plan: plan of the caller.
    :param service: name of the service.
    :param refused: why the queue did not take it.
    """
    if isinstance(refused, QueueFull):
        reason, detail = Reason.queue_full, f'The queue of {service} is full.'
    else:
        reason = Reason.deadline
        detail = f'The wait for {service} would exceed the deadline.'
    return refusal_with_wait(plan, reason, detail, refused.retry_after_s)
