"""Decides whether a failed request goes to another target.

Retries stay within the limits of the route, the deadline and the retry budget
of the service.
"""

import random
from collections.abc import Callable

from ..retries import RetryBudget
from ..steering.decisions import Ending
from .attempt import AttemptOutcome
from .bodies import RequestBody
from .request_state import RequestState, RoutingState
from .routes import RepeatPolicy

#: Least time left for a retry, in seconds.
MIN_ATTEMPT_S = 0.03
#: Fraction of the deployment's retry limit that the instances use in total;
#: their counts of requests differ at any one moment.
RETRY_BUDGET_FRACTION = 0.6


class RetryPolicy:
    """Limits on the retries of one entry instance.

    :param routing_state: tells how many entry instances share the budget.
    :param now: returns monotonic time in seconds.
    :param retry_ratio: retries for each request, over all instances.
    :param min_retry_budget: retries in a window without requests, over all
        instances.
    """

    def __init__(
        self,
        routing_state: RoutingState,
        now: Callable[[], float],
        retry_ratio: float,
        min_retry_budget: float,
    ) -> None:
        self.min_retry_budget = min_retry_budget
        self._routing_state = routing_state
        self._now = now
        self._retry_ratio = retry_ratio
        self._budgets: dict[str, RetryBudget] = {}

    def count_request(self, service: str) -> None:
        """Let a request earn its part of a retry.

        :param service: service of the request.
        """
        self._budget(service).count_request()

    def may_retry(
        self,
        state: RequestState,
        body: RequestBody,
        outcome: AttemptOutcome,
    ) -> bool:
        """Tell whether a failed request goes to another target.

        :param state: the request; its trail gets the reason if it does not.
        :param body: its body.
        :param outcome: outcome of its last attempt.
        """
        if outcome.ending is Ending.answered:
            return False
        obstacle = self._why_no_retry(state, body, outcome)
        if obstacle:
            state.trail.append(f'no further attempt: {obstacle}')
            return False
        if outcome.answer is not None:
            state.failed_answer = outcome.answer
        return True

    def _why_no_retry(
        self,
        state: RequestState,
        body: RequestBody,
        outcome: AttemptOutcome,
    ) -> str:
        """Return why there is no retry; empty if there is one."""
        late = self._now() + MIN_ATTEMPT_S >= state.ends_at
        if late or outcome.ending is Ending.timeout:
            return 'no time left'
        if outcome.may_have_run and state.route.repeat is RepeatPolicy.once:
            return 'it may have run'
        if not body.can_resend:
            return 'the body has been passed on'
        if len(state.tried_targets) >= state.route.max_targets:
            return 'no more targets for this route'
        if outcome.ending is Ending.unreachable:
            # Nothing was sent, so the retry adds no load to the service.
            return ''
        if not self._budget(state.service).try_retry():
            return 'the budget is spent'
        return ''

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(
                random.getrandbits(32),
                self._retry_ratio * RETRY_BUDGET_FRACTION,
            )
            self._budgets[service] = budget
        instance_budget = self.min_retry_budget / max(
            self._routing_state.entry_count, 1
        )
        budget.limit_saved(max(instance_budget * RETRY_BUDGET_FRACTION, 1))
        return budget
