"""Log entries, voter sets, snapshots and messages of the control log."""

import msgspec

from .codec import Message, register_message
from .config_model import Change, ChangeOutcome
from .control_state import StateImage


class Member(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A replica with the incarnation of its files.

    :param incarnation: changes when the disk was lost or the damaged files
        were moved away, because the votes stored there are lost, too.
    """

    name: str
    incarnation: str


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry of the log.

    An entry without change and members is the first of a term.

    :param change: a change of the configuration.
    :param members: the voters that apply from this entry on.
    """

    index: int
    term: int
    change: Change | None = None
    members: tuple[Member, ...] | None = None


class LogPosition(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Term and index of an entry; a greater position is more up to date."""

    term: int
    index: int


class VoterSet(msgspec.Struct, frozen=True, array_like=True):
    """The voters and the position of the entry that defined them."""

    defined_at: LogPosition
    voters: tuple[Member, ...]

    @property
    def quorum(self) -> int:
        """Number of voters whose agreement decides."""
        return len(self.voters) // 2 + 1


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after an entry and all entries before it.

    :param last: position of the last entry that the state contains.
    :param membership: the voters as of that entry.
    """

    last: LogPosition
    membership: VoterSet
    state: StateImage


@register_message
class VoteRequest(Message, frozen=True):
    """Request for a vote or pre-vote.

    :param term: term that the candidate wants to lead.
    :param pre_vote: whether this is a pre-vote, which changes no state of
        the receiver.
    :param last: position of the last entry of the candidate's log.
    :param membership: the candidate's newest voters.
    """

    cluster_id: str
    candidate: Member
    term: int
    pre_vote: bool = msgspec.field(name='trial')
    last: LogPosition
    membership: VoterSet


@register_message
class VoteReply(Message, frozen=True):
    """Reply to a vote request.

    :param voter: the replica that replies.
    """

    voter: Member
    term: int
    granted: bool
    reason: str = ''


@register_message
class AppendRequest(Message, frozen=True):
    """Entries from the leader; without entries it is a heartbeat.

    :param to: the receiver; a replica with another incarnation refuses.
    :param previous: position of the entry before the first one sent.
    :param commit_index: newest entry that the leader knows as committed.
    :param confirmed_age_s: age of the leader's quorum confirmation at the
        time of sending, in seconds, or None without confirmation.
    :param echo: token of the last reply that the leader has received.
    """

    cluster_id: str
    leader: Member
    to: Member
    term: int
    previous: LogPosition
    entries: tuple[LogEntry, ...]
    commit_index: int
    confirmed_age_s: float | None
    echo: int


@register_message
class InstallRequest(Message, frozen=True):
    """A snapshot for a replica that needs entries already compacted."""

    cluster_id: str
    leader: Member
    to: Member
    term: int
    snapshot: Snapshot


@register_message
class AppendReply(Message, frozen=True):
    """Reply to entries or a snapshot.

    :param matched: whether all that was sent is synced in the receiver's
        log.
    :param index: if matched, the last entry sent; otherwise the entry
        after which the leader continues; -1 after a refusal.
    :param token: opaque value for ``echo`` of the next request.
    """

    replica: Member
    term: int
    matched: bool
    index: int
    token: int = 0
    reason: str = ''


@register_message
class JoinRequest(Message, frozen=True):
    """Request of a learner to become a voter.

    :param cluster_id: cluster of the replica, empty before it has one.
    """

    cluster_id: str
    replica: Member


@register_message
class JoinReply(Message, frozen=True):
    """Reply to a join request.

    :param leader: name of the leader, empty if unknown.
    """

    leader: str
    reason: str = ''


@register_message
class SubmitRequest(Message, frozen=True):
    """A configuration change that a follower forwards to the leader."""

    change: Change


@register_message
class SubmitReply(Message, frozen=True):
    """The leader's outcome of a forwarded change."""

    outcome: ChangeOutcome
