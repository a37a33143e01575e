"""Interface between the control log and its users."""

import abc
from collections.abc import Callable

import msgspec
from returns.result import Result

from .config_model import Change, ChangeOutcome, Configuration


class ReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What a control replica says about itself.

    :param role: ``leader``, ``follower``, ``candidate`` or ``learner``.
    :param leader: name of the leader, empty if unknown.
    :param voters: names of the voting replicas.
    :param fault: why it does not take part, empty if it does.
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
    """The replicated log of changes, as one control instance sees it."""

    @abc.abstractmethod
    async def submit(self, change: Change) -> ChangeOutcome:
        """Decide on a change; an acceptance is durable on a majority.

        :param change: the change.
        """

    @abc.abstractmethod
    async def bootstrap_cluster(self) -> Result[str, str]:
        """Make this empty replica the first voter of a new cluster.

        :returns: the cluster id, or why it cannot be done.
        """

    @abc.abstractmethod
    def committed_config(self) -> Configuration | None:
        """Return the newest committed configuration, if there is one."""

    @abc.abstractmethod
    def confirmed_age_s(self) -> float | None:
        """Return the age of the last proof that it is the current one.

        The proof is a majority that followed the leader; None without one.
        """

    @abc.abstractmethod
    def on_commit(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each newly committed configuration.

        :param listener: called in version order.
        """

    @abc.abstractmethod
    def status(self) -> ReplicaStatus:
        """Return the state of the replica."""
