"""Checks requests that end the targets that run them."""

import collections
from collections.abc import Iterator

from .evidence import Crash, Evidence
from .separations import REACTION_S, out_of_touch
from .upstreams import POISON_PREFIX

#: Targets that may end under a request before it must not be sent on.
MAX_CRASHES = 3
#: Requests with the same content that may reach targets after that time.
MAX_LATE_ARRIVALS = 3
#: Reason with which an instance refuses such a request.
REFUSAL = 'poison-request'


def poison_sent_on(evidence: Evidence) -> Iterator[str]:
    """Check that a request that ends targets is not sent on for ever.

    :param evidence: the evidence of one soak.
    """
    calls = {call.request_id: call for call in evidence.calls}
    for path, crashes in _crashes_by_path(evidence).items():
        if len(crashes) < MAX_CRASHES:
            continue
        known_at = crashes[MAX_CRASHES - 1].at + REACTION_S
        late = [
            arrival
            for arrival in evidence.arrivals
            if arrival.at > known_at
            and arrival.request_id in calls
            and calls[arrival.request_id].path == path
            and not out_of_touch(
                calls[arrival.request_id].instance, arrival.at, evidence
            )
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            yield (
                f'{path} reached targets {len(late)} times later than '
                f'{REACTION_S} s after it had ended {MAX_CRASHES}; '
                f'{len(crashes)} ended in all'
            )


def refused_as_poison(evidence: Evidence) -> Iterator[str]:
    """Check that no request is taken for the cause of a crash beside it.

    :param evidence: the evidence of one soak.
    """
    for call in evidence.calls:
        harmless = not call.path.startswith(POISON_PREFIX)
        if call.refusal == REFUSAL and harmless:
            yield f'{call.request_id} was refused as the cause of a crash'


def _crashes_by_path(evidence: Evidence) -> dict[str, list[Crash]]:
    by_path = collections.defaultdict(list)
    for crash in evidence.crashes:
        by_path[crash.path].append(crash)
    return by_path
