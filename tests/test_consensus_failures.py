"""Tests of the control log, each for one failure of replicas or network.

The replicas run on virtual time, and the failure is caused at a fixed
point: partitions, paused processes, crashes, lost disks, late messages.
"""

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
    cluster = World(3, seed=1)
    cluster.boot()
    yield cluster
    cluster.close()


def test_isolated_leader_accepts_nothing(world):
    """Guards against an isolated leader that accepts changes or confirms."""
    old_leader = leader_of(world)
    accept(world, 'before')
    world.isolate(old_leader.name)
    late_submission = world.submit(
        old_leader.name, builders.plans_change('late', 1)
    )
    world.advance(600)
    assert isinstance(late_submission.result(), Unavailable)
    second = world.decide(old_leader.name, builders.plans_change('late-2', 1))
    assert isinstance(second, Unavailable)
    assert old_leader.replica.status().role != 'leader'
    assert old_leader.replica.confirmed_age_s() >= 599
    assert leader_of(world) is not old_leader
    assert accept(world, 'during') == 2
    term = leader_of(world).ctx.term
    world.heal()
    world.advance(3)
    assert old_leader.replica.committed_config().version == 2
    assert leader_of(world).ctx.term == term


def test_isolated_follower_raises_no_term(world):
    """Guards against an election forced by a follower back from a partition."""
    node = followers_of(world)[0]
    term = leader_of(world).ctx.term
    world.isolate(node.name)
    world.advance(60)
    world.heal()
    world.advance(5)
    assert leader_of(world).ctx.term == term
    assert node.ctx.term == term


def test_paused_leader_resumes_with_expired_lease(world):
    """Guards against a lease counted from the time at which a reply is read."""
    old_leader = leader_of(world)
    accept(world, 'before')
    old_leader.not_paused.clear()
    world.advance(8)
    assert accept(world, 'during') == 2
    old_leader.not_paused.set()
    # The first replies after the pause belong to requests that were sent
    # before it.
    outcome = world.decide(old_leader.name, builders.plans_change('woken', 1))
    assert isinstance(outcome, Unavailable)
    assert old_leader.replica.confirmed_age_s() >= 7.5
    world.advance(3)
    assert old_leader.replica.committed_config().version == 2


def test_leader_pauses_with_requests_in_flight(world):
    """Guards against a reply that renews the lease long after the request."""
    old_leader = leader_of(world)
    world.network.delay_s = 0.2
    world.advance(1.13)
    old_leader.not_paused.clear()
    world.advance(0.9)
    paused_at = world.loop.time() - 0.9
    world.network.delay_s = 0.01
    old_leader.not_paused.set()
    world.advance(0.001)
    age_s = old_leader.replica.confirmed_age_s()
    assert world.loop.time() - age_s <= paused_at


def test_late_heartbeat_confirms_nothing_new(world):
    """Guards against an age counted from the arrival of a late heartbeat."""
    node = followers_of(world)[0]
    leader = leader_of(world).name
    recorder = Recorder(world, node.name)
    world.advance(1)
    late_request = recorder.requests[-1]
    world.isolate(node.name)
    isolated_at = world.loop.time()
    accept(world, 'unseen')
    world.advance(0.6)
    world.wait(node.run(node.receive(ReceivedMessage(leader, late_request))))
    age_s = node.replica.confirmed_age_s()
    assert world.loop.time() - age_s <= isolated_at


def test_heartbeat_without_its_entries_confirms_nothing(world):
    """Guards against a follower that confirms without the committed entries."""
    node = followers_of(world)[0]
    leader = leader_of(world).name
    recorder = Recorder(world, node.name)
    world.advance(1)
    base_request = recorder.requests[-1]
    world.isolate(node.name)
    confirmed_before = world.loop.time() - node.replica.confirmed_age_s()
    ahead_request = msgspec.structs.replace(
        base_request,
        commit_index=base_request.commit_index + 1,
        echo=list(node.replica._follower._tokens)[-1],
    )
    world.wait(node.run(node.receive(ReceivedMessage(leader, ahead_request))))
    confirmed_after = world.loop.time() - node.replica.confirmed_age_s()
    assert confirmed_after == pytest.approx(confirmed_before)


def test_entry_of_an_older_term_is_not_committed_by_itself(world):
    """Guards against committing an entry that a later leader can replace."""
    leader = leader_of(world)
    leadership = leader.replica._leadership
    world.isolate(leader.name)
    world.submit(leader.name, builders.plans_change('open', 0))
    world.advance(0.05)
    last = leader.ctx.log.last.index
    committed = leader.ctx.commit_index
    assert last == committed + 1
    leadership._term_start_index = last + 1
    for peer in leadership._peers.values():
        peer.match_index = last
    leadership._advance_commit_index()
    assert leader.ctx.commit_index == committed


def test_one_membership_change_at_a_time(world):
    """Guards against overlapping membership changes with disjoint quorums."""
    leader = leader_of(world)
    leadership = leader.replica._leadership
    lost_node = followers_of(world)[0]
    world.isolate(leader.name)
    remaining = tuple(
        voter
        for voter in leader.ctx.membership.voters
        if voter.name != lost_node.name
    )
    new_incarnation = Member(lost_node.name, 'new')

    async def change_twice() -> LogPosition:
        await leadership._append((leadership._new_entry(remaining),))
        membership_position = leader.ctx.membership.defined_at
        leadership.join(new_incarnation)
        leadership._update_peers()
        leadership._peers[
            new_incarnation
        ].match_index = membership_position.index
        assert leadership.has_lease()
        await leadership._change_voters()
        return membership_position

    membership_position = world.wait(leader.run(change_twice()))
    assert leader.ctx.membership.defined_at == membership_position


def test_one_winner_of_equal_base_versions(world):
    """Guards against two concurrent changes that are both accepted."""
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


def test_retry_gets_the_first_outcome(world):
    """Guards against applying a change twice after election and compaction."""
    accept(world, 'first')
    leader = leader_of(world).name
    losing_change = builders.plans_change('lost', 0)
    assert isinstance(world.decide(leader, losing_change), Conflict)
    for number in range(3 * COMPACT_ENTRIES):
        accept(world, f'later-{number}')
    assert leader_of(world).ctx.log.base.index > 0
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
    """Guards against a replaced replica that votes without the state."""
    versions = [accept(world, f'change-{number}') for number in range(5)]
    for node in followers_of(world):
        old_member = node.ctx.own_member
        node.lose_disk()
        node.start()
        world.advance(6)
        assert world.complete()
        assert old_member not in world.voters()
    leader_of(world).lose_disk()
    world.advance(8)
    assert leader_of(world).replica.committed_config().version == versions[-1]
    assert accept(world, 'after') == versions[-1] + 1


@pytest.mark.parametrize('missed', [COMPACT_ENTRIES - 6, 300])
def test_catch_up_takes_one_round_trip(world, missed):
    """Guards against a restarted replica that fetches changes one by one."""
    node = followers_of(world)[0]
    node.crash()
    for number in range(missed):
        accept(world, f'missed-{number}')
    node.start()
    recorder = Recorder(world, node.name)
    world.advance(2)
    assert node.replica.committed_config().version == missed
    content_requests = [
        req
        for req in recorder.requests
        if isinstance(req, InstallRequest)
        or (isinstance(req, AppendRequest) and req.entries)
    ]
    assert len(content_requests) == 1


def test_new_incarnation_waits_for_its_vote():
    """Guards against a second vote by a replica that lost its disk."""
    world = World(3, seed=2)
    world.boot()
    accept(world, 'kept')
    lost_node = followers_of(world)[0]
    lost_node.lose_disk()
    lost_node.start()
    leader_of(world).crash()
    world.advance(60)
    assert world.leader() is None
    assert lost_node.replica.status().role == 'learner'
    world.recover()
    world.advance(8)
    assert world.complete()
    assert accept(world, 'after') == 2
    world.close()


def vote_request(world: World, **fields: object) -> VoteRequest:
    """Return a vote request that is granted unless fields are changed."""
    follower, other_follower = followers_of(world)
    base_request = VoteRequest(
        cluster_id=follower.ctx.log.hard_state.cluster_id,
        candidate=other_follower.ctx.own_member,
        term=follower.ctx.term + 1,
        pre_vote=False,
        last=follower.ctx.log.last,
        membership=follower.ctx.membership,
    )
    return msgspec.structs.replace(base_request, **fields)


@pytest.mark.parametrize(
    ('fields', 'reason'),
    [
        ({}, ''),
        ({'cluster_id': 'another'}, 'the replica belongs to another cluster'),
        ({'candidate': Member('c9', 'x')}, 'the candidate is not a voter'),
        ({'candidate': Member('c1', 'old')}, 'the candidate is not a voter'),
        ({'term': 0}, 'the term is too old'),
        (
            {'last': LogPosition(1, 1)},
            'the log of the candidate is less up to date',
        ),
    ],
)
def test_votes_for_unfit_candidates_are_refused(world, fields, reason):
    """Guards against votes for a candidate that must not lead."""
    voter, candidate = followers_of(world)
    req = vote_request(world, **fields)
    early_reply = world.wait(voter.run(voter.replica._election.on_vote(req)))
    if not reason:
        assert early_reply.reason == 'a leader sent a request recently'
    leader_of(world).crash()
    candidate.crash()
    world.advance(1.1)
    reply = world.wait(voter.run(voter.replica._election.on_vote(req)))
    assert (reply.granted, reply.reason) == (not reason, reason)


def test_new_incarnation_gives_no_vote(world):
    """Guards against votes of a new incarnation that is not yet a voter."""
    voter, candidate = followers_of(world)
    base_request = vote_request(world)
    voters = tuple(
        Member(voter.name, 'other')
        if member == voter.ctx.own_member
        else member
        for member in base_request.membership.voters
    )
    newer_voters = VoterSet(
        LogPosition(base_request.last.term, base_request.last.index + 1), voters
    )
    leader_of(world).crash()
    candidate.crash()
    world.advance(1.1)
    for pre_vote in (True, False):
        req = msgspec.structs.replace(
            base_request, membership=newer_voters, pre_vote=pre_vote
        )
        reply = world.wait(voter.run(voter.replica._election.on_vote(req)))
        assert reply.reason == 'this replica is not a voter'


def test_replica_joins_again_after_its_addition_was_replaced():
    """Guards against a replica that waits as a voter no leader knows of.

    It held the entry that added it, but that entry was not committed and
    the next leader did not have it.
    """
    world = World(5, seed=1)
    world.boot()
    old_leader = leader_of(world)
    lost, *others = followers_of(world)
    world.network.delay_s = 0.2
    lost.lose_disk()
    lost.start()
    for _ in range(8000):
        world.advance(0.001)
        if lost.ready and lost.ctx.own_member in world.voters():
            break
    for other in others:
        world.isolate(other.name)
    world.advance(0.4)
    added = old_leader.ctx.membership
    assert lost.ctx.membership == added
    assert all(other.ctx.membership != added for other in others)
    world.heal()
    world.isolate(old_leader.name)
    world.isolate(lost.name)
    world.advance(8)
    new_leader = leader_of(world)
    assert new_leader in others
    world.heal()
    world.advance(15)
    assert lost.ctx.own_member in world.voters()
    assert world.complete()
    accept(world, 'afterwards')
    world.close()
