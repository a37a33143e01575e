"""Deadlines that callers claim, and what they say of other callers.

They guard against a few callers with distant deadlines, beside whom requests
of all others pass for late retries and are refused first under load.
"""

import time

from cuminhoist.gateway.request_acceptance import RequestAcceptance
from cuminhoist.gateway.request_state import RoutingState
from cuminhoist.pipelined_request import RequestPlace

from .builders import route

ROUTE = route(timeout_s=1.5)
FIRST = RequestPlace(1, 1, 0)
AHEAD = RequestPlace(2, 9, 3, sent_ahead=True)


def _acceptance(left_s: float, place: RequestPlace) -> RequestAcceptance:
    """Return one that has got a hundred requests alike."""
    acceptance = RequestAcceptance(RoutingState(), None, time.monotonic)
    for _ in range(100):
        assert not acceptance._elapsed_s(ROUTE, left_s, place)
    return acceptance


def test_distant_deadlines_say_nothing_of_others():
    """Guards against claims that no caller waits for."""
    assert not _acceptance(20, FIRST)._elapsed_s(ROUTE, 1.4, FIRST)


def test_requests_ahead_say_nothing_of_others():
    """Guards against one connection that sends most requests of a route."""
    assert not _acceptance(2.5, AHEAD)._elapsed_s(ROUTE, 1.4, FIRST)


def test_retries_of_callers_are_still_told():
    """Guards against late retries that take the slots of first requests."""
    elapsed_s = _acceptance(1.5, FIRST)._elapsed_s(ROUTE, 1.0, FIRST)
    assert round(elapsed_s, 2) == 0.5
