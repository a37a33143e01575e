"""Tests of the retry budget: attempts are at most 1.1 times the requests.

They guard against retry storms, in which retries multiply the load on targets
that fail.
"""

from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhoist.retries import MAX_BACKOFF_S, MAX_SAVED_RETRIES, RetryBudget


@given(st.lists(st.booleans(), max_size=600), st.integers(0, 10))
@settings(max_examples=200, deadline=None, derandomize=True)
def test_attempts_stay_within_the_budget(steps, attempt_count):
    """Guards against retry storms when every attempt fails."""
    budget = RetryBudget(1)
    requests, retries, history = 0, 0, [(0, 0)]
    for is_request in steps:
        if is_request:
            budget.count_request()
            requests += 1
        for _ in range(attempt_count):
            retries += budget.try_retry()
        history.append((requests, retries))
        assert 10 * retries <= requests
    for first_requests, first_retries in history:
        period = requests - first_requests
        assert (
            retries - first_retries <= 0.1 * period + MAX_SAVED_RETRIES + 1e-6
        )


def test_ten_requests_earn_one_retry():
    """Guards against retries lost by rounding: ten tenths must make one."""
    budget = RetryBudget(1)
    for number in range(1000):
        budget.count_request()
        if number % 10 == 9:
            assert budget.try_retry()
            assert not budget.try_retry()


def test_backoff_has_seeded_jitter():
    """Guards against attempts that are retried at the same time."""
    budgets = RetryBudget(7), RetryBudget(7), RetryBudget(8)
    waits = [
        [budget.backoff_s(number) for number in range(1, 12)]
        for budget in budgets
    ]
    assert waits[0] == waits[1] != waits[2]
    for number, wait_s in enumerate(waits[0]):
        longest_s = min(0.02 * 2**number, MAX_BACKOFF_S)
        assert longest_s / 2 <= wait_s <= longest_s


def test_lower_limit_of_saved_retries_applies_at_once():
    """Guards against retries saved under a higher limit.

    The limit falls when other instances join.
    """
    budget = RetryBudget(1, earned=1, max_saved=10)
    for _ in range(10):
        budget.count_request()
    budget.limit_saved(2)
    retries = sum(budget.try_retry() for _ in range(10))
    assert retries == 2
