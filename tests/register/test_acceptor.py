"""Tests of the durable files of an acceptor.

They guard against a voter that forgets a promise and goes on voting.
"""

import random

import pytest

from cuminhoist.fleet.instance_config import Address
from cuminhoist.register.acceptor import Acceptor, AcceptorFiles
from cuminhoist.register.declared_state import DeclaredState
from cuminhoist.register.messages import Ballot, Prepare

from .builders import PORT, InlineDisk

HOST = '10.1.0.1'
FOUNDERS = DeclaredState.from_founders((Address(HOST, PORT),))


def _start(folder, founders=None):
    files = AcceptorFiles(folder)
    identity = files.load_or_create_identity(HOST, founders, random.Random(1))
    return identity, Acceptor.from_files(identity.voter, files, InlineDisk())


async def _promise(acceptor, number):
    ballot = Ballot(number, acceptor.name)
    reply = await acceptor.handle_request(
        Prepare(voter=acceptor.name, ballot=ballot)
    )
    assert reply.granted


@pytest.mark.parametrize('name', ['promised', 'held', 'identity'])
async def test_unreadable_files_take_a_new_identity(tmp_path, name):
    """Guards against votes under a name whose promises cannot be read."""
    identity, acceptor = _start(tmp_path, FOUNDERS)
    await _promise(acceptor, 1)
    await _promise(acceptor, 2)
    for suffix in ('a', 'b'):
        (tmp_path / f'{name}.{suffix}').write_bytes(b'damaged')
    renamed, _ = _start(tmp_path)
    assert renamed.voter != identity.voter
    assert renamed.founders is None
    again, acceptor = _start(tmp_path)
    assert again == renamed
    await _promise(acceptor, 3)


async def test_torn_write_keeps_the_identity(tmp_path):
    """Guards against a vote that is lost to an ordinary power loss."""
    identity, acceptor = _start(tmp_path, FOUNDERS)
    (tmp_path / 'promised.a').write_bytes(b'torn')
    assert _start(tmp_path)[0] == identity
    await _promise(acceptor, 1)
    (tmp_path / 'promised.b').write_bytes(b'torn')
    assert _start(tmp_path)[0] == identity


async def test_save_learned_reports_a_full_disk(tmp_path):
    """Guards against a chosen state that is taken to be stored."""
    files = AcceptorFiles(tmp_path)
    identity = files.load_or_create_identity(HOST, FOUNDERS, random.Random(1))
    disk = InlineDisk()
    acceptor = Acceptor.from_files(identity.voter, files, disk)
    disk.is_full = True
    assert not await acceptor.save_learned(FOUNDERS)
    disk.is_full = False
    assert await acceptor.save_learned(FOUNDERS)
    assert files.learned.load() == FOUNDERS
