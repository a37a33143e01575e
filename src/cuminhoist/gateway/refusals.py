"""Builds the refusals of requests that no target answered."""

from ..caller_memory import STALL_S
from ..problems import Refusal
from ..steering.decisions import Ending, RefusalReason, Refused
from ..types import Ran, Reason
from .answers import not_run_refusal
from .attempt import AttemptOutcome
from .request_state import RequestState

#: Time after which a caller may retry, in seconds, if the instance has no
#: configuration, stops, or the target refused the request.
NOT_READY_RETRY_S = 0.3
#: Time after which a caller may retry, in seconds, if a target with free
#: slots declined: there are free slots, but the retry budget is exhausted.
DECLINED_RETRY_S = 0.01


def refusal_without_memory() -> Refusal:
    """Return the refusal of a request while memory for callers is short."""
    return not_run_refusal(
        Reason.memory_full,
        'The entry instance holds too much for callers that do not read.',
        STALL_S,
    )


def refusal_without_connection() -> Refusal:
    """Return the refusal of a request that no connection to a target is for."""
    return not_run_refusal(
        Reason.no_slot,
        'Requests of this service use all its connections to targets.',
        NOT_READY_RETRY_S,
    )


def refusal_of_stopping_instance(*, may_have_run: bool = False) -> Refusal:
    """Return the refusal of a request that outlasts this instance.

    :param may_have_run: whether a target may be at work on it.
    """
    if may_have_run:
        return Refusal(
            ran=Ran.unknown,
            reason=Reason.target_timeout,
            detail='This entry instance stops before the target has answered.',
        )
    return not_run_refusal(
        Reason.draining,
        'Retry at another entry instance.',
        NOT_READY_RETRY_S,
    )


def refusal_of_poison(state: RequestState) -> Refusal:
    """Return the refusal of a request that ends the targets that run it.

    :param state: the request.
    """
    return Refusal(
        ran=Ran.unknown if state.may_have_run else Ran.not_run,
        reason=(
            Reason.target_lost if state.may_have_run else Reason.poison_request
        ),
        detail='Several targets ended while they ran this request.',
    )


def refusal_of_cut_instance(
    state: RequestState, outcome: AttemptOutcome | None
) -> Refusal:
    """Return the refusal of a request that no entry instance could serve.

    :param state: the request.
    :param outcome: outcome at the last entry instance that was tried, if any.
    """
    if state.may_have_run:
        return Refusal(
            ran=Ran.unknown,
            reason=Reason.target_lost,
            detail='The attempt failed and no other instance can take over.',
        )
    asked_s = outcome.pause_s if outcome else 0
    return not_run_refusal(
        Reason.no_target,
        'This entry instance reaches no target.',
        asked_s or NOT_READY_RETRY_S,
    )


def refusal_of_caller(state: RequestState, refusal: Refusal) -> Refusal:
    """Return the refusal of a request that was authenticated again.

    :param state: the request.
    :param refusal: why its caller is not served any more.
    """
    if not state.may_have_run:
        return refusal
    return Refusal(
        ran=Ran.unknown,
        reason=Reason.target_lost,
        detail='The attempt failed and the caller is not served any more.',
    )


def refusal_of_large_body(*, may_run: bool) -> Refusal:
    """Return the refusal of a request whose body is too long.

    :param may_run: whether a target may run what it got of the body.
    """
    return Refusal(
        ran=Ran.unknown if may_run else Ran.not_run,
        reason=Reason.body_too_large,
        detail='The body is too large.',
    )


def refusal_of_unsendable(state: RequestState, detail: str) -> Refusal:
    """Return the refusal of a request that can't be sent as it is.

    :param state: the request.
    :param detail: why it can't.
    """
    return Refusal(
        ran=Ran.unknown if state.may_have_run else Ran.not_run,
        reason=Reason.bad_request,
        detail=f'The request cannot be passed on: {detail}.',
    )


def refusal_after_error() -> Refusal:
    """Return the refusal of a request that an unexpected error ended."""
    return Refusal(
        ran=Ran.unknown,
        reason=Reason.target_lost,
        detail='An internal error ended the request.',
    )


def refusal_without_target(state: RequestState, refused: Refused) -> Refusal:
    """Return the refusal of a request that gets no target, or no other one.

    :param state: the request.
    :param refused: the decision on its last placement request.
    """
    if state.may_have_run:
        return Refusal(
            ran=Ran.unknown,
            reason=Reason.target_lost,
            detail='The attempt failed and there is no other target.',
        )
    if refused.reason is RefusalReason.over_allowance:
        return not_run_refusal(
            Reason.rate_exceeded,
            'The workspace is over its allowance.',
            refused.retry_after_s,
        )
    if refused.reason is RefusalReason.overload:
        return not_run_refusal(
            Reason.queue_full,
            'All targets are busy.',
            refused.retry_after_s,
        )
    return not_run_refusal(
        Reason.no_target,
        'No target can serve the request.',
        refused.retry_after_s,
    )


def refusal_after_attempt(
    state: RequestState, outcome: AttemptOutcome, paused_s: float
) -> Refusal:
    """Return the refusal of a request whose last attempt gave no answer.

    :param state: the request.
    :param outcome: outcome of its last attempt.
    :param paused_s: how long all targets of the service pause, in seconds; 0
        if one of them does not.
    """
    if not state.may_have_run:
        declined = outcome.ending is Ending.declined
        return not_run_refusal(
            Reason.target_refused,
            'The target did not run the request.',
            paused_s or (DECLINED_RETRY_S if declined else NOT_READY_RETRY_S),
        )
    return refusal_of_incomplete_answer(
        timed_out=outcome.ending is Ending.timeout
    )


def refusal_of_incomplete_answer(*, timed_out: bool) -> Refusal:
    """Return the refusal of a request whose answer is not complete.

    :param timed_out: whether the target has taken too long.
    """
    return Refusal(
        ran=Ran.unknown,
        reason=Reason.target_timeout if timed_out else Reason.target_lost,
        detail='The target gave no complete answer.',
    )
