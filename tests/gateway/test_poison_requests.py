"""Tests of an entry instance whose targets end under requests.

They guard against a request that ends one target after the other, and against
harmless requests that are refused because they ran beside it.
"""

import asyncio

from tests.waiting import eventually

from .builders import ScriptedTarget, answer, gateway

POISON = '/a/poison'


class CrashingTarget(ScriptedTarget):
    """A target that ends when it runs a poison request."""

    def __init__(self):
        super().__init__(self._answer_or_crash)

    def _answer_or_crash(self, head):
        if b'poison' in head:
            self.stop()
            return b''
        return answer(head)


async def _ended_targets(harness, count):
    known = harness.proxy.crash_detector.poison_requests
    await eventually(lambda: len(known.in_force()) >= count)


async def test_poison_request_went_from_target_to_target():
    """Guards against a request that ends all targets (BUDGET)."""
    targets = [CrashingTarget() for _ in range(6)]
    async with gateway(*targets) as harness:
        told = []
        harness.proxy.crash_detector.on_ends = told.extend
        await harness.request(path=POISON, request_id='id1')
        await _ended_targets(harness, 2)
        await eventually(lambda: len(told) == 2)
        await harness.request(path=POISON, request_id='id2')
        await _ended_targets(harness, 3)
        sent = sum(len(target.heads) for target in targets)
        refused = await harness.request(path=POISON, request_id='id3')
        assert refused.startswith(b'HTTP/1.1 503')
        assert b'poison-request' in refused
        assert sum(len(target.heads) for target in targets) == sent
        other = await harness.request(path='/a/other')
        assert other.startswith(b'HTTP/1.1 200')


async def test_lost_answers_of_running_targets_are_no_ends():
    """Guards against a request that is refused for broken connections."""
    targets = [ScriptedTarget(lambda head: b'') for _ in range(3)]
    async with gateway(*targets, max_targets=3) as harness:
        for number in range(4):
            await harness.request(request_id=f'id{number}')
        await asyncio.sleep(0.1)
        assert not harness.proxy.crash_detector.poison_requests.in_force()


async def test_instance_that_reaches_no_target_counts_no_ends():
    """Guards against a cut instance that takes all targets for ended."""
    targets = []

    def cut(_head):
        for target in targets:
            target.stop()
        return b''

    targets.extend(ScriptedTarget(cut) for _ in range(3))
    async with gateway(*targets) as harness:
        await harness.request()
        await asyncio.sleep(0.1)
        assert not harness.proxy.crash_detector.poison_requests.in_force()


async def test_failure_that_a_target_answers_refutes_nothing():
    """Guards against ends that a busy target's 504 makes forgotten."""
    statuses = iter(('', '504 Gateway Timeout'))

    def script(head):
        status = next(statuses, '200 OK')
        if not status:
            crashing.stop()
            return b''
        return answer(head, status=status)

    crashing = ScriptedTarget(script)
    others = [ScriptedTarget(script) for _ in range(2)]
    async with gateway(crashing, *others, max_targets=1) as harness:
        await harness.request()
        await _ended_targets(harness, 1)
        known = harness.proxy.crash_detector.poison_requests
        await harness.request(request_id='id2')
        assert [end.refuted for end in known.in_force()] == [False]
        await harness.request(request_id='id3')
        assert [end.refuted for end in known.in_force()] == [True]
