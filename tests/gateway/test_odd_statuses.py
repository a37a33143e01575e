"""Tests of answers with a status that no server may send.

They guard against a caller that gets such a status, or a success in its place
(MIXED): from a target, through another instance, behind an interim answer and
behind other requests of the connection.
"""

import pytest

from .builders import ScriptedTarget, answer, gateway, header, relayed_to
from .test_cut_from_targets import RefusingTarget

STATUSES = ('000', '0', '099', '600', '999', '2000')
INTERIM = b'HTTP/1.1 103 Early Hints\r\n\r\n'


def _target(status, before=b''):
    return ScriptedTarget(lambda head: before + answer(head, status=status))


def _check(received):
    status_line, _, rest = received.partition(b'\r\n')
    assert status_line.startswith(b'HTTP/1.1 502')
    assert not header(received, 'x-server-stamp')
    assert b'whole' not in rest


@pytest.mark.parametrize('method', ['GET', 'POST'])
@pytest.mark.parametrize('before', [b'', INTERIM, INTERIM * 3])
@pytest.mark.parametrize('status', STATUSES)
async def test_status_of_a_target(status, before, method):
    """Guards against a status that is passed on as it came."""
    targets = [_target(f'{status} Odd', before) for _ in range(2)]
    async with gateway(*targets) as harness:
        _check(await harness.request(method))


@pytest.mark.parametrize('status', STATUSES)
async def test_status_through_another_instance(status):
    """Guards against a status that another instance passes on."""
    targets = [RefusingTarget(answer) for _ in range(4)]
    async with (
        gateway(*targets) as cut,
        gateway(_target(f'{status} Odd')) as other,
        relayed_to(cut, other),
    ):
        for number in range(3):
            _check(await cut.request(request_id=f'id{number}'))


@pytest.mark.parametrize('status', STATUSES)
async def test_status_behind_other_requests(status):
    """Guards against an odd status that ends the answers behind it."""
    odd = ScriptedTarget(
        lambda head: answer(
            head, status=f'{status} Odd' if b'/odd' in head else '200 OK'
        )
    )
    async with gateway(odd, max_targets=1) as harness:
        async with harness.connection() as caller:
            for number, path in enumerate(('/a/x', '/a/odd', '/a/x')):
                caller.begin(path=path, request_id=f'id{number}')
            received = [await caller.receive() for _ in range(3)]
    _check(received.pop(1))
    for sound in received:
        assert sound.startswith(b'HTTP/1.1 200')
        assert sound.endswith(b'whole')
