"""Directed tests of the control log, one for each named failure."""

import msgspec
import pytest
from loguru import logger

from cuminhoist.codec import ReceivedMessage
from cuminhoist.config_model import Accepted, Conflict, Unavailable
from cuminhoist.consensus_messages import (
    AppendRequest,
    InstallRequest,
    LogPosition,
    Member,
    VoteRequest,
    VoterSet,
)

from . import builders
from .control_steps import Recorder, accept, followers_of, leader_of
from .control_world import COMPACT_ENTRIES, World


@pytest.fixture(autouse=True)
def _no_logs():
    logger.disable('cuminhoist')
    yield
    logger.enable('cuminhoist')


@pytest.fixture
def world():
    """Return three replicas that form a cluster."""
    made = World(3, seed=1)
    made.boot()
    yield made
    made.close()


def test_silent_partition_of_the_leader(world):
    """Guards against an isolated leader that accepts or confirms."""
    old = leader_of(world)
    accept(world, 'before')
    world.isolate(old.name)
    late = world.submit(old.name, builders.plans_change('late', 1))
    world.advance(600)
    assert isinstance(late.result(), Unavailable)
    again = world.decide(old.name, builders.plans_change('late-2', 1))
    assert isinstance(again, Unavailable)
    assert old.replica.status().role != 'leader'
    assert old.replica.confirmed_age_s() >= 599
    assert leader_of(world) is not old
    assert accept(world, 'during') == 2
    term = leader_of(world).core.term
    world.heal()
    world.advance(3)
    assert old.replica.committed_config().version == 2
    assert leader_of(world).core.term == term


def test_isolated_follower_raises_no_term(world):
    """Guards against an election caused by a returning replica."""
    node = followers_of(world)[0]
    term = leader_of(world).core.term
    world.isolate(node.name)
    world.advance(60)
    world.heal()
    world.advance(5)
    assert leader_of(world).core.term == term
    assert node.core.term == term


def test_paused_leader_wakes_with_expired_lease(world):
    """Guards against a lease that counts from the reading of a reply."""
    old = leader_of(world)
    accept(world, 'before')
    old.gate.clear()
    world.advance(8)
    assert accept(world, 'during') == 2
    old.gate.set()
    # The first answers after the wake are replies to requests that were
    # sent before the pause.
    outcome = world.decide(old.name, builders.plans_change('woken', 1))
    assert isinstance(outcome, Unavailable)
    assert old.replica.confirmed_age_s() >= 7.5
    world.advance(3)
    assert old.replica.committed_config().version == 2


def test_leader_pauses_with_requests_under_way(world):
    """Guards against replies that renew a lease long after the sending."""
    old = leader_of(world)
    world.network.delay_s = 0.2
    world.advance(1.13)
    old.gate.clear()
    world.advance(0.9)
    paused_at = world.loop.time() - 0.9
    world.network.delay_s = 0.01
    old.gate.set()
    world.advance(0.001)
    age_s = old.replica.confirmed_age_s()
    assert world.loop.time() - age_s <= paused_at


def test_late_heartbeat_confirms_nothing_new(world):
    """Guards against an age that counts from a heartbeat's arrival."""
    node = followers_of(world)[0]
    leader = leader_of(world).name
    recorder = Recorder(world, node.name)
    world.advance(1)
    late = recorder.requests[-1]
    world.isolate(node.name)
    isolated_at = world.loop.time()
    accept(world, 'unseen')
    world.advance(0.6)
    world.wait(node.run(node.receive(ReceivedMessage(leader, late))))
    age_s = node.replica.confirmed_age_s()
    assert world.loop.time() - age_s <= isolated_at


def test_heartbeat_without_its_entries_confirms_nothing(world):
    """Guards against an age for a state that lacks committed entries."""
    node = followers_of(world)[0]
    leader = leader_of(world).name
    recorder = Recorder(world, node.name)
    world.advance(1)
    usual = recorder.requests[-1]
    world.isolate(node.name)
    before = world.loop.time() - node.replica.confirmed_age_s()
    ahead = msgspec.structs.replace(
        usual,
        commit_index=usual.commit_index + 1,
        echo=list(node.replica._follower._tokens)[-1],
    )
    world.wait(node.run(node.receive(ReceivedMessage(leader, ahead))))
    after = world.loop.time() - node.replica.confirmed_age_s()
    assert after == pytest.approx(before)


def test_entry_of_an_older_term_waits_for_one_of_this_term(world):
    """Guards against a commit that a later leader can still replace."""
    leader = leader_of(world)
    leadership = leader.replica._leadership
    world.isolate(leader.name)
    world.submit(leader.name, builders.plans_change('open', 0))
    world.advance(0.05)
    last = leader.core.log.last.index
    committed = leader.core.commit_index
    assert last == committed + 1
    leadership._first_index = last + 1
    for peer in leadership._peers.values():
        peer.match = last
    leadership._advance()
    assert leader.core.commit_index == committed


def test_one_membership_change_at_a_time(world):
    """Guards against two changes whose majorities do not overlap."""
    leader = leader_of(world)
    leadership = leader.replica._leadership
    lost = followers_of(world)[0]
    world.isolate(leader.name)
    rest = tuple(
        voter
        for voter in leader.core.membership.voters
        if voter.name != lost.name
    )
    again = Member(lost.name, 'new')

    async def change_twice() -> LogPosition:
        await leadership._append((leadership._entry(rest),))
        at = leader.core.membership.defined_at
        leadership.join(again)
        leadership._update_peers()
        leadership._peers[again].match = at.index
        assert leadership.has_lease()
        await leadership._change_members()
        return at

    at = world.wait(leader.run(change_twice()))
    assert leader.core.membership.defined_at == at


def test_one_winner_of_equal_base_versions(world):
    """Guards against concurrent changes that both win."""
    names = [node.name for node in followers_of(world)]
    tasks = [
        world.submit(name, builders.plans_change(f'by-{name}', 0, number))
        for number, name in enumerate(names, start=1)
    ]
    world.advance(2)
    outcomes = {task.result() for task in tasks}
    winner = next(
        name
        for name, task in zip(names, tasks, strict=True)
        if task.result() == Accepted(version=1)
    )
    assert outcomes == {
        Accepted(version=1),
        Conflict(version=1, winner_id=f'by-{winner}'),
    }


def test_resend_gets_the_first_answer(world):
    """Guards against a second run after leader change and compaction."""
    accept(world, 'first')
    leader = leader_of(world).name
    lost = builders.plans_change('lost', 0)
    assert isinstance(world.decide(leader, lost), Conflict)
    for number in range(3 * COMPACT_ENTRIES):
        accept(world, f'later-{number}')
    assert leader_of(world).core.log.base.index > 0
    leader_of(world).crash()
    leader_of(world)
    for node in world.nodes.values():
        if not node.alive:
            node.start()
    world.advance(3)
    for node in world.nodes.values():
        for change_id in ('first', 'lost'):
            change = world.changes[change_id]
            outcome = world.decide(node.name, change)
            assert outcome == world.decided[change_id]
    assert (
        leader_of(world).replica.committed_config().version
        == len(world.accepted) - 3
    )


def test_second_disk_is_lost_after_a_repair(world):
    """Guards against a repaired replica that does not hold the state."""
    versions = [accept(world, f'change-{number}') for number in range(5)]
    for node in followers_of(world):
        before = node.core.own
        node.lose_disk()
        node.start()
        world.advance(6)
        assert world.complete()
        assert before not in world.voters()
    leader_of(world).lose_disk()
    world.advance(8)
    assert leader_of(world).replica.committed_config().version == versions[-1]
    assert accept(world, 'after') == versions[-1] + 1


@pytest.mark.parametrize('missed', [COMPACT_ENTRIES - 6, 300])
def test_catch_up_takes_one_round_trip(world, missed):
    """Guards against a restart that fetches missed changes one by one."""
    node = followers_of(world)[0]
    node.crash()
    for number in range(missed):
        accept(world, f'missed-{number}')
    node.start()
    recorder = Recorder(world, node.name)
    world.advance(2)
    assert node.replica.committed_config().version == missed
    carrying = [
        req
        for req in recorder.requests
        if isinstance(req, InstallRequest)
        or (isinstance(req, AppendRequest) and req.entries)
    ]
    assert len(carrying) == 1


def test_new_incarnation_waits_for_its_vote():
    """Guards against a vote of a replica that lost its promises."""
    world = World(3, seed=2)
    world.boot()
    accept(world, 'kept')
    lost = followers_of(world)[0]
    lost.lose_disk()
    lost.start()
    leader_of(world).crash()
    world.advance(60)
    assert world.leader() is None
    assert lost.replica.status().role == 'learner'
    world.recover()
    world.advance(8)
    assert world.complete()
    assert accept(world, 'after') == 2
    world.close()


def vote_request(world: World, **parts: object) -> VoteRequest:
    """Return a request that a follower would grant but for some parts."""
    one, other = followers_of(world)
    usual = VoteRequest(
        cluster_id=one.core.log.vote.cluster_id,
        candidate=other.core.own,
        term=one.core.term + 1,
        pre_vote=False,
        last=one.core.log.last,
        membership=one.core.membership,
    )
    return msgspec.structs.replace(usual, **parts)


@pytest.mark.parametrize(
    ('parts', 'reason'),
    [
        ({}, ''),
        ({'cluster_id': 'another'}, 'another cluster'),
        ({'candidate': Member('c9', 'x')}, 'the candidate is no voter'),
        ({'candidate': Member('c1', 'old')}, 'the candidate is no voter'),
        ({'term': 0}, 'an older term'),
        ({'last': LogPosition(1, 1)}, 'a shorter log'),
    ],
)
def test_votes_are_refused(world, parts, reason):
    """Guards against votes for replicas that must not lead."""
    voter, candidate = followers_of(world)
    req = vote_request(world, **parts)
    early = world.wait(voter.run(voter.replica._election.on_vote(req)))
    if not reason:
        assert early.reason == 'a leader was heard'
    leader_of(world).crash()
    candidate.crash()
    world.advance(1.1)
    reply = world.wait(voter.run(voter.replica._election.on_vote(req)))
    assert (reply.granted, reply.reason) == (not reason, reason)


def test_new_incarnation_gives_no_vote(world):
    """Guards against a vote before the new incarnation was added."""
    voter, candidate = followers_of(world)
    usual = vote_request(world)
    voters = tuple(
        Member(voter.name, 'other') if member == voter.core.own else member
        for member in usual.membership.voters
    )
    newer = VoterSet(LogPosition(usual.last.term, usual.last.index + 1), voters)
    leader_of(world).crash()
    candidate.crash()
    world.advance(1.1)
    for trial in (True, False):
        req = msgspec.structs.replace(usual, membership=newer, pre_vote=trial)
        reply = world.wait(voter.run(voter.replica._election.on_vote(req)))
        assert reply.reason == 'this replica is no voter'
