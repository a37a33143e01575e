"""Defines the interface of the replicated control log to its users."""

import abc
from collections.abc import Callable

import msgspec
from returns.result import Result

from .config_model import Change, ChangeOutcome, Configuration


class ReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of a control replica.

    :param role: ``leader``, ``follower``, ``candidate`` or ``learner``.
    :param leader: name of the leader, empty if unknown.
    :param voters: names of the voting replicas.
    :param commit_index: index of the newest committed entry of the log.
    :param version: version of the newest committed configuration.
    :param fault: why the replica does not take part in the log, empty if it
        does.
    """

    name: str
    incarnation: str
    cluster_id: str
    role: str
    term: int
    leader: str
    commit_index: int
    version: int
    voters: tuple[str, ...]
    fault: str = ''


class ControlLog(abc.ABC):
    """The replicated log of changes, at one control replica."""

    @abc.abstractmethod
    async def submit(self, change: Change) -> ChangeOutcome:
        """Decide on a change.

        An accepted change is durable on a quorum before this returns.

        :param change: the change.
        """

    @abc.abstractmethod
    async def bootstrap_cluster(self) -> Result[str, str]:
        """Make this empty replica the first voter of a new cluster.

        :returns: the cluster id, or why no cluster can be created.
        """

    @abc.abstractmethod
    def committed_config(self) -> Configuration | None:
        """Return the newest committed configuration, None without one."""

    @abc.abstractmethod
    def confirmed_age_s(self) -> float | None:
        """Return the age of the last proof that the configuration is current.

        The proof is that a quorum followed the leader; None without a proof.
        """

    @abc.abstractmethod
    def on_commit(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each newly committed configuration.

        :param listener: called in the order of versions.
        """

    @abc.abstractmethod
    def status(self) -> ReplicaStatus:
        """Return the state of the replica."""
