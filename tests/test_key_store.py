"""Tests of idempotency keys.

They guard against a second run of a request, and against a refusal that says
"not run" although the request ran. Both happen if a record is dropped, lost
in a restart or mixed up with another key while resends still arrive.
"""

import asyncio

import pytest
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from cuminhoist.clock import ManualClock
from cuminhoist.config_in_force import ConfigInForce
from cuminhoist.heartbeats import Heartbeat
from cuminhoist.key_records import (
    MAX_RECORDED_BODY_BYTES,
    Fingerprint,
    KeyRefusal,
    NewRun,
    RecordedAnswer,
    RunInProgress,
    parse_key,
)
from cuminhoist.key_store import EPOCH_S, KeyStore
from cuminhoist.membership import Membership
from cuminhoist.problems import Refusal
from cuminhoist.types import Ran, Reason

from .builders_ownership import single_domain_topology

NOT_SENT = Refusal(ran=Ran.not_run, reason=Reason.no_slot)
# KeysMachine uses this name, and its derandomized examples depend on its source
# text.
PRINT = Fingerprint.from_request('POST', '/book')
TOPOLOGY = single_domain_topology()


def _store(clock=None, name='e0', **kwargs):
    clock = clock or ManualClock()
    membership = Membership(TOPOLOGY, name, clock, ConfigInForce())
    return KeyStore(membership, clock, **kwargs)


def _key(store, text='a.b'):
    return parse_key(f'{store.current_ticket()}.{text}')


@pytest.mark.parametrize(
    'text',
    ['', 'a.b', 'a.b.1', 'a.b.1.', 'a.b.-1.x', 'a.b.²8.x', '.b.1.x', 'a..1.x'],
)
def test_malformed_keys_are_not_parsed(text):
    """Guards against a malformed key that is taken for a valid one."""
    assert parse_key(text) is None
    assert parse_key('a.b.1.' + 'x' * 200) is None


def test_recorded_answer_belongs_to_one_caller_and_request():
    """Guards against replaying an answer to another caller or request."""
    store = _store()
    key = _key(store)
    run = store.begin('acme', key, PRINT)
    assert isinstance(run, NewRun)
    assert isinstance(store.begin('acme', key, PRINT), RunInProgress)
    run.complete(201, [(b'a', b'b')], b'done')
    run.finish_unknown(Reason.cancelled)
    recorded = RecordedAnswer(201, [(b'a', b'b')], b'done')
    assert store.begin('acme', key, PRINT) == recorded
    other_fingerprint = Fingerprint.from_request('POST', '/book', 7)
    refused = store.begin('acme', key, other_fingerprint)
    assert refused.refusal.reason == Reason.bad_request
    assert isinstance(store.begin('other', key, PRINT), NewRun)


def test_full_store_refuses_only_new_keys():
    """Guards against unbounded memory, and eviction of records in use."""
    store = _store(max_records=2)
    runs = [store.begin('acme', _key(store, str(nr)), PRINT) for nr in range(3)]
    refusal = runs[2].refusal
    assert refusal.reason == Reason.key_records_full
    assert refusal.ran == Ran.not_run and refusal.retry_after_ms > 0
    runs[0].abandon_not_run(NOT_SENT)
    assert isinstance(store.begin('acme', _key(store, '2'), PRINT), NewRun)
    small = _store(max_bytes=2000)
    run = small.begin('acme', _key(small), PRINT)
    run.complete(200, [], b'x' * 2000)
    refused_resend = small.begin('acme', _key(small), PRINT)
    assert refused_resend.refusal.reason == Reason.answer_not_kept
    assert small.size_bytes <= 2000
    large = _store()
    large.begin('acme', _key(large), PRINT).complete(
        200,
        [],
        b'x' * (MAX_RECORDED_BODY_BYTES + 1),
    )
    refused_resend = large.begin('acme', _key(large), PRINT)
    assert refused_resend.refusal.ran == Ran.unknown


def test_expired_epochs_free_memory_and_refuse():
    """Guards against a second run once the record has been dropped."""
    clock = ManualClock()
    store = _store(clock)
    key = _key(store)
    store.begin('acme', key, PRINT).complete(200, [], b'x')
    clock.advance(3 * EPOCH_S - 1)
    assert isinstance(store.begin('acme', key, PRINT), RecordedAnswer)
    clock.advance(1)
    assert store.begin('acme', key, PRINT).refusal.ran == Ran.unknown
    assert (store.record_count, store.size_bytes) == (0, 0)


def test_tickets_of_other_instances_follow_heartbeats():
    """Guards against tickets of an earlier incarnation of the key home."""
    store = _store()
    assert store.ticket_for('e1') is None
    for incarnation in ('one', 'two'):
        store._membership.record_heartbeat(
            'e1', Heartbeat(incarnation=incarnation, epoch=3)
        )
        assert store.ticket_for('e1') == f'e1.{incarnation}.3'


async def test_resends_wait_for_the_run_in_progress():
    """Guards against resends that wait for ever or get different answers.

    One of the resends disconnects before the run ends.
    """
    store = _store()
    for text in ('done', 'lost', 'unsent'):
        run = store.begin('acme', _key(store, text), PRINT)
        resends = [
            asyncio.create_task(
                store.begin('acme', _key(store, text), PRINT).wait(),
            )
            for _ in range(3)
        ]
        await asyncio.sleep(0)
        resends[0].cancel()
        if text == 'done':
            run.complete(200, [], b'x')
        elif text == 'lost':
            run.finish_unknown(Reason.target_lost)
        else:
            run.abandon_not_run(NOT_SENT)
        outcome = await resends[1]
        assert outcome == await resends[2]
        if text == 'unsent':
            assert outcome == KeyRefusal(NOT_SENT)
        else:
            assert store.begin('acme', _key(store, text), PRINT) == outcome


class KeysMachine(RuleBasedStateMachine):
    """Resends to any instance, crashes, restarts, lost answers."""

    @initialize()
    def begin(self):
        self.clocks = [ManualClock(1000 * nr) for nr in range(3)]
        self.stores = [None] * 3
        self.requests = []
        # By key: the number of runs at targets, and the complete answer.
        self.runs, self.answers = {}, {}
        self.running = []
        for number in range(3):
            self.restart(number)

    @rule(number=strategies.integers(0, 2))
    def restart(self, number):
        self.running = [run for run in self.running if run[0] != number]
        self.stores[number] = _store(self.clocks[number], f'e{number}')

    @rule(number=strategies.integers(0, 2))
    def crash(self, number):
        self.running = [run for run in self.running if run[0] != number]
        self.stores[number] = None

    @rule(home=strategies.integers(0, 2))
    def new_request(self, home):
        if self.stores[home] is not None:
            text = f'r{len(self.requests)}'
            ticket = self.stores[home].current_ticket()
            self.requests.append(f'{ticket}.{text}')

    @rule(
        pick=strategies.integers(0, 30),
        fate=strategies.sampled_from(
            ['run', 'run-lost', 'unsent', 'lost-unsent'],
        ),
    )
    def send(self, pick, fate):
        """Send or resend; every instance forwards to the home."""
        if not self.requests:
            return
        text = self.requests[pick % len(self.requests)]
        key = parse_key(text)
        home = int(key.instance[1:])
        if self.stores[home] is None:
            return
        decision = self.stores[home].begin('acme', key, PRINT)
        if not isinstance(decision, NewRun):
            self._judge(text, decision)
        elif fate == 'unsent':
            decision.abandon_not_run(NOT_SENT)
            self._judge(text, KeyRefusal(NOT_SENT))
        elif fate == 'lost-unsent':
            decision.finish_unknown(Reason.target_lost)
        else:
            self.runs[text] = self.runs.get(text, 0) + 1
            assert self.runs[text] == 1, text
            if fate == 'run-lost':
                decision.finish_unknown(Reason.target_timeout)
            else:
                self.running.append((home, text, decision))

    @rule(pick=strategies.integers(0, 30), size=strategies.integers(0, 70000))
    def finish(self, pick, size):
        """The target's answer arrives; it may be lost to the caller."""
        if self.running:
            _, text, run = self.running.pop(pick % len(self.running))
            answer = RecordedAnswer(200, [], b'x' * size)
            run.complete(200, [], answer.body)
            self.answers[text] = answer

    @rule(
        number=strategies.integers(0, 2),
        seconds=strategies.sampled_from([1, 599, 600, 1300]),
    )
    def time_passes(self, number, seconds):
        self.clocks[number].advance(seconds)

    def _judge(self, text, decision):
        if isinstance(decision, RecordedAnswer):
            assert decision == self.answers[text]
        elif isinstance(decision, KeyRefusal):
            if decision.refusal.ran == Ran.not_run:
                assert text not in self.runs
        else:
            assert any(text == run[1] for run in self.running)


TestKeysMachine = KeysMachine.TestCase
TestKeysMachine.settings = settings(
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
