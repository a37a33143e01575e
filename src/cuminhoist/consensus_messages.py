"""Values and messages of the control log."""

import msgspec

from .codec import Message, register_message
from .config_model import Change, ChangeOutcome
from .control_state import StateImage


class Member(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A replica with the identity of its disk.

    :param incarnation: changes when the disk is lost or set aside.
    """

    name: str
    incarnation: str


class LogEntry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log; one without a part starts a term.

    :param change: a change of the configuration.
    :param members: the voters from this entry on.
    """

    index: int
    term: int
    change: Change | None = None
    members: tuple[Member, ...] | None = None


class LogPosition(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Place of an entry; a greater one is more up to date."""

    term: int
    index: int


class VoterSet(msgspec.Struct, frozen=True, array_like=True):
    """Voters and the entry that named them."""

    defined_at: LogPosition
    voters: tuple[Member, ...]

    @property
    def majority(self) -> int:
        """Number of voters that decide."""
        return len(self.voters) // 2 + 1


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The state after all entries up to one."""

    last: LogPosition
    membership: VoterSet
    state: StateImage


@register_message
class VoteRequest(Message, frozen=True):
    """Asks for a vote.

    :param term: term in which the candidate wants to lead.
    :param pre_vote: a pre-vote, which changes nothing at the receiver.
    :param last: end of the candidate's log.
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
    """Answer to a request for a vote.

    :param voter: the replica that answers.
    """

    voter: Member
    term: int
    granted: bool
    reason: str = ''


@register_message
class AppendRequest(Message, frozen=True):
    """Entries of the leader; without any it is a heartbeat.

    :param to: the receiver; another incarnation refuses.
    :param previous: position before the first entry.
    :param commit_index: newest entry that is known to be committed.
    :param confirmed_age_s: age of the leader's majority confirmation when
        it sent this, or None.
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
    """A snapshot for a replica that lacks entries that were compacted."""

    cluster_id: str
    leader: Member
    to: Member
    term: int
    snapshot: Snapshot


@register_message
class AppendReply(Message, frozen=True):
    """Answer to entries or a snapshot.

    :param matched: whether the receiver holds all that was sent, synced.
    :param index: last matching entry, or where the leader should go on.
    :param token: opaque value for the next request's ``echo``.
    """

    replica: Member
    term: int
    matched: bool
    index: int
    token: int = 0
    reason: str = ''


@register_message
class JoinRequest(Message, frozen=True):
    """A replica without a vote asks to become a voter.

    :param cluster_id: its cluster, empty before the first contact.
    """

    cluster_id: str
    replica: Member


@register_message
class JoinReply(Message, frozen=True):
    """Answer to a join.

    :param leader: name of the leader, empty if unknown.
    """

    leader: str
    reason: str = ''


@register_message
class SubmitRequest(Message, frozen=True):
    """A change that a follower forwards to the leader."""

    change: Change


@register_message
class SubmitReply(Message, frozen=True):
    """The leader's decision on a forwarded change."""

    outcome: ChangeOutcome
