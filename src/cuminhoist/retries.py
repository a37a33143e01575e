"""Budget and backoff of further attempts."""

import random

#: Further attempts that one request earns.
EARNED = 0.1
#: Earned attempts that may be saved; they let single requests be tried
#: again in quiet times, and bound the retries of any short period.
MAX_SAVED = 10.0
BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
#: Sums of tenths fall short of a whole attempt by rounding errors.
ROUNDING = 1e-9


class RetryBudget:
    """Limits attempts to 1.1 times the requests.

    Since the start, attempts are at most 1.1 times the requests at every
    moment. Over any later period they are at most 1.1 times the requests
    of the period plus ``MAX_SAVED``. There is no free attempt at the
    start: the first ten requests of a process earn the first retry.

    :param seed: seed of the jitter.
    :param earned: further attempts that one request earns.
    :param most_saved: most earned attempts that are saved.
    """

    def __init__(
        self,
        seed: int,
        earned: float = EARNED,
        most_saved: float = MAX_SAVED,
    ) -> None:
        self._random = random.Random(seed)  # noqa: S311
        self._earned = earned
        self._most_saved = most_saved
        self._saved = float(0)

    def limit_saved(self, most_saved: float) -> None:
        """Change how many earned attempts are saved at most.

        :param most_saved: the new limit.
        """
        self._most_saved = most_saved
        self._saved = min(self._saved, most_saved)

    def on_request(self) -> None:
        """Count a request, whose first attempt is free."""
        self._saved = min(self._saved + self._earned, self._most_saved)

    def try_retry(self) -> bool:
        """Take a further attempt from the budget if there is one."""
        if self._saved + ROUNDING < 1:
            return False
        self._saved = max(self._saved - 1, 0)
        return True

    def backoff_s(self, attempt: int) -> float:
        """Return how long to wait before a further attempt.

        :param attempt: 1 for the first further attempt.
        """
        longest = min(BACKOFF_S * 2 ** (attempt - 1), MAX_BACKOFF_S)
        # Attempts that failed together must not come back together.
        return self._random.uniform(longest / 2, longest)
