"""Tests of the signals that the soak's stand-in targets send.

A target that does not send them lets soaks pass without testing the rules.
"""

import asyncio
import os
from unittest import mock

import httpx
import pytest

from soak.evidence import Evidence
from soak.injector import Injector
from soak.plan import Fault, FaultKind
from soak.upstreams import (
    MAX_PAUSE_S,
    MIN_PAUSE_S,
    SLOTS,
    Target,
    TargetList,
    requested_pause_s,
)

HOST = f'127.10.{os.getpid() // 250 % 250}.{1 + os.getpid() % 250}'


async def _request(number):
    async with httpx.AsyncClient(trust_env=False) as client:
        return await client.get(
            f'http://{HOST}:8080/browse/1',
            headers={'X-Request-Id': f'r{number}'},
        )


class _GatedAsyncio:
    """The module asyncio, but each sleep lasts until the gate opens.

    :param gate: the gate.
    """

    def __init__(self, gate: asyncio.Event) -> None:
        self._gate = gate

    def __getattr__(self, name):
        return getattr(asyncio, name)

    async def sleep(self, _delay_s):
        """Wait for the gate."""
        await self._gate.wait()


def _answers_during(fault, *, count=1, wait_s=0.1, setup=None):
    """Return answers, evidence and target, with a fault under way.

    The fault lasts until all answers have arrived, however long they take.
    """

    async def scenario():
        gate = asyncio.Event()
        evidence = Evidence()
        target = Target(HOST, 'catalogue', 'north-a', evidence)
        if setup:
            setup(target)
        injector = Injector(
            [], [target], TargetList(HOST, [target]), None, evidence
        )
        await target.start()
        gated = _GatedAsyncio(gate)
        with mock.patch('soak.injector.asyncio', gated):
            task = asyncio.create_task(injector.inject(fault))
            await asyncio.sleep(wait_s)
            answers = await asyncio.gather(
                *(_request(number) for number in range(count)),
            )
            gate.set()
            await task
        await target.stop()
        return answers, evidence, target

    return asyncio.run(scenario())


def _fault(kind, for_s=0.3):
    return Fault(0, kind, for_s, f'catalogue-north-a-{HOST.split(".")[3]}')


def test_leaving_is_announced_before_the_list_shows_it():
    """Guards against notices that come only with the target list."""

    def check_list(target):
        assert not target.leaving

    fault = _fault(FaultKind.target_announces)
    answers, evidence, target = _answers_during(fault, setup=check_list)
    assert answers[0].headers['server-leaving'] == '1'
    assert target.leaving
    assert list(evidence.leaving) == [target.name]


def test_listed_leaving_is_announced_too():
    """Guards against targets that leave without saying so in answers."""
    answers, _, _ = _answers_during(_fault(FaultKind.target_leaves))
    assert answers[0].headers['server-leaving'] == '1'


@pytest.mark.parametrize(
    'kind', [FaultKind.target_replaced, FaultKind.target_reassigned]
)
def test_new_incarnation_does_not_leave(kind):
    """Guards against a notice that passes to the next user of an address."""

    def announce(target):
        target.announcing = True
        target.leaving = True

    answers, _, target = _answers_during(_fault(kind), setup=announce)
    assert 'server-leaving' not in answers[0].headers
    assert not target.leaving


def test_reassigned_address_serves_another_service():
    """Guards against addresses that always return to the same service."""
    _, evidence, target = _answers_during(_fault(FaultKind.target_reassigned))
    assert evidence.runs[0].service == 'publisher'
    assert target.service == 'catalogue'
    assert target.generation == 3


def test_pausing_target_refuses_with_the_pause():
    """Guards against pauses that answers and evidence do not show."""
    answers, evidence, _ = _answers_during(_fault(FaultKind.target_pauses))
    assert answers[0].status_code == 503
    assert answers[0].headers['x-not-executed'] == '1'
    pause_s = float(answers[0].headers['retry-after'])
    assert pause_s == evidence.arrivals[0].pause_s == requested_pause_s('r0')
    assert not evidence.runs


def test_overloaded_target_asks_for_a_pause():
    """Guards against targets that shed load without telling for how long."""
    fault = _fault(FaultKind.target_slow)
    answers, _, _ = _answers_during(fault, count=5 * SLOTS)
    paused = [answer for answer in answers if answer.status_code == 503]
    assert paused
    assert all('retry-after' in answer.headers for answer in paused)


def test_pauses_cover_the_stated_range():
    """Guards against pauses that are all too short to tell from none."""
    pauses_s = [requested_pause_s(f'r{number}') for number in range(500)]
    assert MIN_PAUSE_S <= min(pauses_s) < 1
    assert 2.5 < max(pauses_s) <= MAX_PAUSE_S
