"""Decides when a request that counts as poison may be tried again.

Targets may have ended under a request for another cause. As such a request is
sent to no target, no answer could ever show that. A single try is therefore
sent on from time to time: its answer refutes the ends, a further end confirms
them. Instances need no messages to take turns: each has another rank for the
request, and learns of the outcome before its own turn.
"""

import collections

from .poison_requests import MAX_ENDED_TARGETS, MAX_REQUESTS

#: Time from the last known end of a target to the first trial, in seconds.
FIRST_TRIAL_DELAY_S = 10.0
#: Factor by which the delay grows with each end beyond those that count as
#: proof.
TRIAL_BACKOFF = 8.0
#: With more of these ends there is no trial. Each trial may end a target, so
#: that a request gets two while it is remembered.
MAX_EXCESS_ENDS = 1
#: Time between the turns of two instances, in seconds. The outcome of a trial
#: is known everywhere by then.
TURN_S = 5.0


class PoisonTrials:
    """Trials of poison requests by one instance."""

    def __init__(self) -> None:
        # Monotonic time of the last trial by content, in seconds.
        self._tried_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def claim(
        self,
        content: str,
        ended_targets: int,
        ended_at: float,
        rank: int,
        now: float,
    ) -> bool:
        """Tell whether a try of a request may go on; remember it if so.

        :param content: digest of the request's path and body.
        :param ended_targets: number of targets that ended under it.
        :param ended_at: when the last end was recorded, in monotonic seconds.
        :param rank: place of this instance in the order of turns, from 0.
        :param now: monotonic time in seconds.
        """
        excess = ended_targets - MAX_ENDED_TARGETS
        tried_at = self._tried_at.get(content, float('-inf'))
        if tried_at >= ended_at:
            # The outcome of the last trial is not known.
            excess += 1
        if excess > MAX_EXCESS_ENDS:
            return False
        delay_s = FIRST_TRIAL_DELAY_S * TRIAL_BACKOFF**excess + TURN_S * rank
        if now - max(ended_at, tried_at) < delay_s:
            return False
        self._tried_at[content] = now
        self._tried_at.move_to_end(content)
        if len(self._tried_at) > MAX_REQUESTS:
            self._tried_at.popitem(last=False)
        return True

    def cancel(self, content: str) -> None:
        """Forget the last trial of a request, as it reached no target.

        :param content: digest of the request's path and body.
        """
        self._tried_at.pop(content, None)
