"""A control log with a single replica in memory."""

from collections.abc import Callable

from returns.result import Result, Success

from cuminhoist.config_model import Change, ChangeOutcome, Configuration
from cuminhoist.control_log import ControlLog, ReplicaStatus
from cuminhoist.control_state import ControlState


class LocalLog(ControlLog):
    """Decides on changes without other replicas; stores nothing on disk.

    :param name: name of the instance.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._state = ControlState()
        self._listeners: list[Callable[[Configuration], None]] = []

    async def submit(self, change: Change) -> ChangeOutcome:
        """Decide on a change; notify the listeners if it was accepted.

        :param change: the change.
        """
        before = self._state.config.version
        outcome = self._state.apply(change)
        if self._state.config.version > before:
            for listener in self._listeners:
                listener(self._state.config)
        return outcome

    async def bootstrap_cluster(self) -> Result[str, str]:
        """Return the fixed cluster id."""
        return Success('local')

    def committed_config(self) -> Configuration | None:
        """Return the newest configuration, None before the first change."""
        return self._state.config if self._state.config.version else None

    def confirmed_age_s(self) -> float | None:
        """Return 0, because the only replica is always up to date."""
        return 0

    def on_commit(self, listener: Callable[[Configuration], None]) -> None:
        """Call a listener with each new configuration.

        :param listener: called in version order.
        """
        self._listeners.append(listener)

    def status(self) -> ReplicaStatus:
        """Return the state of the replica."""
        return ReplicaStatus(
            name=self._name,
            incarnation='local',
            cluster_id='local',
            role='leader',
            term=1,
            leader=self._name,
            commit_index=self._state.config.version,
            version=self._state.config.version,
            voters=(self._name,),
        )
