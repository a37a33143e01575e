"""Budget and backoff of retries.

The budget keeps the attempts at most 1.1 times the requests, so that retries
do not multiply the load on targets that fail.
"""

import random

#: Retries that one request earns.
RETRIES_PER_REQUEST = 0.1
#: Earned retries that may be saved: they allow retries when few requests
#: arrive, and limit the retries of any short period.
MAX_SAVED_RETRIES = 10.0
BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5
#: Tolerance in retries: a sum of ten tenths may be a little less than 1.
ROUNDING_TOLERANCE = 1e-9


class RetryBudget:
    """Limits attempts to 1.1 times the requests.

    Since the start, attempts are at most 1.1 times the requests at every
    moment. Over any later period they are at most 1.1 times the requests
    of the period plus ``MAX_SAVED_RETRIES``. The budget starts empty: the
    first ten requests of a process earn the first retry.

    :param seed: seed of the jitter.
    :param earned: retries that one request earns.
    :param max_saved: most earned retries that are saved.
    """

    def __init__(
        self,
        seed: int,
        earned: float = RETRIES_PER_REQUEST,
        max_saved: float = MAX_SAVED_RETRIES,
    ) -> None:
        self._random = random.Random(seed)  # noqa: S311
        self._earned_per_request = earned
        self._max_saved = max_saved
        self._saved = float(0)

    def limit_saved(self, max_saved: float) -> None:
        """Change how many earned retries are saved at most.

        :param max_saved: the new limit.
        """
        self._max_saved = max_saved
        self._saved = min(self._saved, max_saved)

    def count_request(self) -> None:
        """Count a request; its first attempt is not a retry."""
        self._saved = min(
            self._saved + self._earned_per_request, self._max_saved
        )

    def try_retry(self) -> bool:
        """Take a retry from the budget if there is one."""
        if self._saved + ROUNDING_TOLERANCE < 1:
            return False
        self._saved = max(self._saved - 1, 0)
        return True

    def backoff_s(self, attempt: int) -> float:
        """Return how long to wait before a retry, in seconds.

        :param attempt: number of the retry, from 1.
        """
        longest = min(BACKOFF_S * 2 ** (attempt - 1), MAX_BACKOFF_S)
        # Jitter: attempts that failed together must not be retried together.
        return self._random.uniform(longest / 2, longest)
