"""Tests of the reasons for which requests are withdrawn.

They guard against logs that do not tell a caller that left from an answer
that took the requests behind it along.
"""

import pytest

from cuminhoist.caller_memory import MemoryLimits, Stall
from cuminhoist.withdrawals import Withdrawal, WithdrawalCause

from .builders_pipelining import OverlapApp, calling, get, started
from .waiting import eventually


class _RecordingApp(OverlapApp):
    """Keeps the place of each request and why it was withdrawn."""

    def __init__(self) -> None:
        super().__init__()
        self.places = {}
        self.withdrawals = {}

    async def __call__(self, scope, receive, send) -> None:
        await super().__call__(scope, receive, send)
        pipelined = scope['state']['pipelined_request']
        self.places[scope['path']] = pipelined.place
        self.withdrawals[scope['path']] = pipelined.withdrawal


@pytest.mark.parametrize(
    ('path', 'cause'),
    [('/2~', WithdrawalCause.cut_answer), ('/2!', WithdrawalCause.closing)],
)
async def test_withdrawal_names_the_answer_that_caused_it(path, cause):
    """Guards against a lost request whose line does not lead to the cause."""
    app = _RecordingApp()
    async with calling(app) as (caller, _):
        caller.send(get('/1'), get(path), get('/3'))
        await started(app, '/1', path, '/3')
        app.open('/1', path)
        await caller.read_rest()
        await eventually(lambda: len(app.withdrawals) == 3)
    assert app.withdrawals['/1'] is None
    assert app.withdrawals['/3'] == Withdrawal(cause, by_request=2)
    assert [app.places[path].ahead for path in ('/1', path, '/3')] == [0, 1, 2]
    assert len({place.connection for place in app.places.values()}) == 1


async def test_withdrawal_of_a_caller_that_left():
    """Guards against a disconnect that looks like a lost answer."""
    app = _RecordingApp()
    async with calling(app) as (caller, _):
        caller.send(get('/1'), get('/2'))
        await started(app, '/1', '/2')
        caller.writer.transport.abort()
        await eventually(lambda: len(app.withdrawals) == 2)
    left = Withdrawal(WithdrawalCause.disconnected)
    assert app.withdrawals == {'/1': left, '/2': left}


async def test_withdrawal_for_memory():
    """Guards against a connection closed for memory that looks like a stop."""
    app = _RecordingApp()
    async with calling(app) as (caller, server):
        caller.send(get('/1'))
        await started(app, '/1')
        memory = server.server_state.memory
        memory.limits = MemoryLimits(high_bytes=1, low_bytes=1)
        for conn in server.server_state.connections:
            # The caller has not read for longer than is tolerated.
            memory._stalled[conn._memory] = Stall(float('-inf'), 0)
        memory.add('unsent-bytes', 1)
        await eventually(lambda: bool(app.withdrawals))
        memory.add('unsent-bytes', -1)
    assert app.withdrawals['/1'] == Withdrawal(WithdrawalCause.memory)
