"""Tests of what callers of a workspace over its allowance are told.

They guard against refusals that promise what is not so, and against callers
that are told nothing of when to return.
"""

import json

import msgspec

from cuminhoist.gateway.refusals import refusal_without_target
from cuminhoist.gateway.request_state import RequestState
from cuminhoist.platform.requests import PlatformWire
from cuminhoist.steering.allowances import BucketSize
from cuminhoist.steering.decisions import RefusalReason, Refused
from cuminhoist.types import Ran

from .builders import ScriptedTarget, answer, gateway, header, route

ACME = 'acme'


class _OneWorkspace(PlatformWire):
    """A wire on which all requests belong to one workspace."""

    def decode_request(self, scope):
        """Decode a request of the workspace."""
        req = super().decode_request(scope)
        return msgspec.structs.replace(req, workspace=ACME)


def _limit(harness, requests):
    """Let the workspace send some requests, and hardly any later."""
    size = BucketSize(rate_per_s=0.01, capacity=requests, start=requests)
    harness.dispatcher.allowances.set_sizes({ACME: size}, 0)
    harness.proxy._wire = _OneWorkspace()


def _status(received):
    return int(received.split(b' ', 2)[1])


async def test_request_over_the_allowance_is_refused_at_once():
    """Guards against requests over the allowance that reach a target."""
    target = ScriptedTarget(answer)
    async with gateway(target) as harness:
        _limit(harness, 2)
        received = [
            await harness.request(request_id=f'id{number}')
            for number in range(4)
        ]
    assert [_status(one) for one in received] == [200, 200, 429, 429]
    assert len(target.heads) == 2
    head, _, body = received[-1].partition(b'\r\n\r\n')
    assert 0 < float(header(head, 'retry-after')) <= 2
    problem = json.loads(body)
    assert (problem['reason'], problem['ran']) == ('rate-exceeded', 'not-run')


async def test_request_that_may_have_run_is_not_refused_by_the_allowance():
    """Guards against a 429 for a request that a target may have run.

    The first target closes the connection; the last token is used up by then.
    """
    cut = ScriptedTarget(lambda head: b'')
    good = ScriptedTarget(answer)
    async with gateway(cut, good, max_targets=2) as harness:
        _limit(harness, 1)
        received = await harness.request()
        assert harness.dispatcher.allowances.find(ACME).tokens(1) < 1
    assert _status(received) == 200
    assert (len(cut.heads), len(good.heads)) == (1, 1)


def test_decision_after_a_run_is_not_answered_429():
    """Guards against a dispatcher that refuses a repeat by the allowance."""
    refused = Refused(1, RefusalReason.over_allowance, 0.5, 0.5)
    state = RequestState(None, route(), 'a')
    assert refusal_without_target(state, refused).status == 429
    state.may_have_run = True
    refusal = refusal_without_target(state, refused)
    assert (refusal.status, refusal.ran) == (502, Ran.unknown)
