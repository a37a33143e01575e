"""Tests of an entry instance whose targets end under requests.

They guard against a request that ends one target after the other, and against
harmless requests that are refused because they ran beside it.
"""

import asyncio
import contextlib
import time

from cuminhoist.gateway.routes import RepeatPolicy
from cuminhoist.steering.poison_requests import TargetEnd
from tests.waiting import eventually

from .builders import ScriptedTarget, answer, gateway

POISON = '/a/poison'
#: Fields of a route whose requests may run once only.
_ONCE = {'repeat': RepeatPolicy.once, 'timeout_s': 4}


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


class HeldTarget(ScriptedTarget):
    """A target that answers once it is released, and can end at any time."""

    def __init__(self):
        super().__init__(answer)
        self.released = asyncio.Event()
        self._writers = []

    def crash(self):
        """End with all connections."""
        self.stop()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        with contextlib.suppress(
            EOFError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                self.heads.append(head)
                await self.released.wait()
                writer.write(answer(head))


@contextlib.asynccontextmanager
async def _running_everywhere(harness, targets):
    """Have the same request of several callers run in all slots."""
    async with asyncio.TaskGroup() as group:
        for number in range(3 * len(targets)):
            group.create_task(
                harness.request(
                    'POST', caller=f'127.0.1.{number + 1}', deadline_ms=4000
                )
            )
        await eventually(
            lambda: all(len(target.heads) == 3 for target in targets)
        )
        yield
        for target in targets:
            target.released.set()


def _known_ends(harness):
    return harness.proxy.crash_detector.poison_requests.in_force()


async def test_requests_in_a_lost_domain_are_not_the_cause():
    """Guards against a request that the loss of a domain condemns (CONFIG).

    Its targets end at one moment, and each of them runs the request.
    """
    targets = [HeldTarget() for _ in range(5)]
    async with (
        gateway(*targets, domains='aaab', **_ONCE) as harness,
        _running_everywhere(harness, targets),
    ):
        for target in targets[:3]:
            target.crash()
        await _ended_targets(harness, 9)
        ends = _known_ends(harness)
        assert {end.target for end in ends} == {'t0', 't1', 't2'}
        assert all(end.refuted for end in ends)


async def test_answers_of_requests_sent_before_lift_the_verdict():
    """Guards against answers that count only for requests sent later.

    Three targets of a larger domain end at one moment; the request is at work
    at the other ones, and no try is sent after the verdict (CONFIG).
    """
    targets = [HeldTarget() for _ in range(5)]
    async with gateway(*targets, **_ONCE) as harness:
        async with _running_everywhere(harness, targets):
            for target in targets[:3]:
                target.crash()
            await _ended_targets(harness, 9)
            known = harness.proxy.crash_detector.poison_requests
            request = _known_ends(harness)[0].request
            assert known.is_poison(request)
            refused = await harness.request('POST', caller='127.0.2.1')
            assert b'poison-request' in refused
        await eventually(lambda: not known.is_poison(request))
        served = await harness.request('POST', caller='127.0.2.1')
        assert served.startswith(b'HTTP/1.1 200')


async def test_answer_beside_a_check_refutes_the_end(monkeypatch):
    """Guards against an answer that comes just before the end is known."""
    targets = [HeldTarget() for _ in range(2)]
    async with gateway(*targets, **_ONCE) as harness:
        checked = asyncio.Event()

        async def reaches_targets():
            await checked.wait()
            return True

        reachability = harness.proxy.reachability
        monkeypatch.setattr(reachability, 'reaches_targets', reaches_targets)
        async with asyncio.TaskGroup() as group:
            for number in range(6):
                group.create_task(
                    harness.request('POST', caller=f'127.0.1.{number + 1}')
                )
            await eventually(lambda: len(targets[0].heads) == 3)
            targets[0].crash()
            detector = harness.proxy.crash_detector
            await eventually(lambda: bool(detector._lost_requests))
            targets[1].released.set()
            await eventually(lambda: bool(detector._answered_requests))
            checked.set()
        await _ended_targets(harness, 3)
        known = harness.proxy.crash_detector.poison_requests
        await eventually(
            lambda: (
                not known._by_content.unrefuted(
                    _known_ends(harness)[0].request.content
                )
            )
        )


async def _with_verdict(harness, target, age_s):
    """Have targets end under a request some time ago.

    :param target: a target whose crash makes the request known.
    """
    await harness.request(path=POISON)
    await _ended_targets(harness, 1)
    known = harness.proxy.crash_detector.poison_requests
    request = _known_ends(harness)[0].request
    ends = [TargetEnd(request, f'former-{index}', 1) for index in range(2)]
    known.record(ends, time.monotonic())
    assert known.is_poison(request)
    _age(known, age_s)
    return request


def _age(known, age_s):
    for suspects in (known._by_caller, known._by_content):
        for name in suspects._changed_at:
            suspects._changed_at[name] -= age_s


async def test_verdict_is_tried_again_after_a_while():
    """Guards against a verdict that nothing can lift for ten minutes."""
    crashing, sound = CrashingTarget(), HeldTarget()
    async with gateway(crashing, sound, max_targets=1) as harness:
        request = await _with_verdict(harness, crashing, age_s=9.5)
        refused = await harness.request(path=POISON)
        assert b'poison-request' in refused
        known = harness.proxy.crash_detector.poison_requests
        _age(known, 1)
        trial = asyncio.create_task(harness.request(path=POISON))
        await eventually(lambda: len(sound.heads) == 1)
        refused = await harness.request(path=POISON)
        assert b'poison-request' in refused
        sound.released.set()
        assert (await trial).startswith(b'HTTP/1.1 200')
        assert not known.is_poison(request)
        assert (await harness.request(path=POISON)).startswith(b'HTTP/1.1 200')


async def test_trial_reaches_one_target():
    """Guards against a trial that ends several targets (BUDGET)."""
    targets = [CrashingTarget() for _ in range(4)]
    async with gateway(*targets, max_targets=1) as harness:
        await _with_verdict(harness, targets[0], age_s=11)
        sent = sum(len(target.heads) for target in targets)
        for _ in range(3):
            await harness.request(path=POISON)
        assert sum(len(target.heads) for target in targets) == sent + 1
