"""What a caller is told when its request gets no answer of a target."""

from ..problems import Refusal
from ..steering.decisions import Ending, RefusalReason, Refused
from ..types import Ran, Reason
from .answers import not_run
from .attempt import AttemptOutcome
from .request_state import RequestState

#: When a caller comes back that was refused while no state was known.
UNREADY_RETRY_S = 0.3
#: The same after a target with free slots declined: there is room now, but
#: the budget of attempts is spent.
DECLINED_RETRY_S = 0.01


def refusal_without_target(run: RequestState, refused: Refused) -> Refusal:
    """Return the refusal of a request that gets no further target.

    :param run: the request.
    :param refused: why it gets none.
    """
    if run.may_have_run:
        return Refusal(
            ran=Ran.unknown,
            reason=Reason.target_lost,
            detail='The attempt failed and there is no other target.',
        )
    if refused.reason is RefusalReason.overload:
        return not_run(
            Reason.queue_full,
            'All targets are busy.',
            refused.retry_after_s,
        )
    return not_run(
        Reason.no_target,
        'No target can serve it.',
        refused.retry_after_s,
    )


def refusal_after_attempt(run: RequestState, ended: AttemptOutcome) -> Refusal:
    """Return the refusal of a request whose last attempt brought nothing.

    :param run: the request.
    :param ended: its last attempt.
    """
    if not run.may_have_run:
        declined = ended.ending is Ending.declined
        return not_run(
            Reason.target_refused,
            'The target did not take it.',
            DECLINED_RETRY_S if declined else UNREADY_RETRY_S,
        )
    timed_out = ended.ending is Ending.timeout
    return Refusal(
        ran=Ran.unknown,
        reason=Reason.target_timeout if timed_out else Reason.target_lost,
        detail='The target gave no whole answer.',
    )
