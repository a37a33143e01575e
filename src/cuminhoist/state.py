"""The replicated state of the control instances."""

import msgspec

from .lists import (
    Accepted,
    Change,
    ChangeOutcome,
    Configuration,
    Conflict,
    Drain,
    Rejected,
)

PARTS = ('plans', 'allowances', 'drain', 'undrain')


class ControlState:
    """Applies changes in log order; equal logs give equal states."""

    def __init__(self) -> None:
        self.config = Configuration()
        self._applied: dict[str, ChangeOutcome] = {}
        self._winners: dict[str, str] = {'plans': '', 'allowances': ''}

    def apply(self, change: Change) -> ChangeOutcome:
        """Apply one change and return its outcome.

        A change that was applied before gets its first outcome again.

        :param change: the change.
        """
        first = self._applied.get(change.change_id)
        if first is None:
            first = self._apply_new(change)
            self._applied[change.change_id] = first
        return first

    def _apply_new(self, change: Change) -> ChangeOutcome:
        parts = [part for part in PARTS if getattr(change, part) is not None]
        if len(parts) != 1:
            return Rejected(reason='a change sets exactly one part')
        if parts[0] in self._winners:
            return self._replace_list(parts[0], change)
        return self._change_drains(change)

    def _replace_list(self, part: str, change: Change) -> ChangeOutcome:
        current: int = getattr(self.config, f'{part}_version')
        if change.base_version != current:
            return Conflict(version=current, winner_id=self._winners[part])
        version = self.config.version + 1
        self._winners[part] = change.change_id
        self.config = msgspec.structs.replace(
            self.config,
            version=version,
            **{part: getattr(change, part), f'{part}_version': version},
        )
        return Accepted(version=version)

    def _change_drains(self, change: Change) -> ChangeOutcome:
        changed = change.drain or change.undrain
        drains: tuple[Drain, ...] = tuple(
            drain
            for drain in self.config.drains
            if changed is None
            or (drain.scope, drain.name) != (changed.scope, changed.name)
        )
        if change.drain is not None:
            drains = (*drains, change.drain)
        version = self.config.version + 1
        self.config = msgspec.structs.replace(
            self.config,
            version=version,
            drains=drains,
        )
        return Accepted(version=version)
