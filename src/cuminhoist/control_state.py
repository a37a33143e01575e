"""The state machine that the control log replicates.

It applies configuration changes and keeps their outcomes, so that a change
that is submitted again gets its first outcome and is not applied twice.
"""

from typing import Self

import msgspec

from .config_model import (
    EMPTY_VERSION,
    Accepted,
    Change,
    ChangeOutcome,
    Configuration,
    Conflict,
    Drain,
    Rejected,
    Unavailable,
)

CHANGE_FIELDS = ('plans', 'allowances', 'drain', 'undrain')

#: Outcomes to keep: about nine days at 21,000 changes a day.
MAX_APPLIED_CHANGES = 200_000

REASON_EXPIRED = 'expired'


class StateImage(msgspec.Struct, frozen=True, array_like=True):
    """The complete state as stored in a snapshot.

    :param winners: id of the last accepted change of each list.
    :param floor: version of the newest accepted change whose outcome was
        evicted; older base versions are expired.
    :param applied: change ids and their first outcomes, oldest first.
    """

    config: Configuration
    winners: dict[str, str]
    floor: int
    applied: tuple[tuple[str, ChangeOutcome], ...]


class ControlState:
    """Applies changes in log order; equal logs give equal states.

    The outcomes of the last ``max_applied`` changes are kept. A change
    whose outcome was evicted is never applied a second time. An accepted list
    change gave its list a newer version than its own base version, so the
    base version cannot match again. A drain states as ``base_version`` the
    configuration version that its author had seen; it is rejected if that
    is below the version of the newest accepted change that was evicted.

    :param max_applied: number of outcomes to keep.
    """

    def __init__(self, max_applied: int = MAX_APPLIED_CHANGES) -> None:
        self.config = Configuration()
        self._max_applied = max_applied
        self._applied: dict[str, ChangeOutcome] = {}
        self._winners: dict[str, str] = {'plans': '', 'allowances': ''}
        self._floor = EMPTY_VERSION

    @classmethod
    def from_image(
        cls,
        image: StateImage,
        max_applied: int = MAX_APPLIED_CHANGES,
    ) -> Self:
        """Build the state from its image in a snapshot.

        :param image: the state in the snapshot.
        :param max_applied: number of outcomes to keep.
        """
        state = cls(max_applied)
        state.config = image.config
        state._winners = dict(image.winners)
        state._floor = image.floor
        state._applied = dict(image.applied)
        return state

    def image(self) -> StateImage:
        """Return the complete state for a snapshot."""
        return StateImage(
            self.config,
            dict(self._winners),
            self._floor,
            tuple(self._applied.items()),
        )

    def first_outcome(self, change_id: str) -> ChangeOutcome | None:
        """Return the outcome of a change that was already applied, or None.

        :param change_id: id of the change.
        """
        return self._applied.get(change_id)

    def apply(self, change: Change) -> ChangeOutcome:
        """Apply one change and return its outcome.

        A change that was already applied gets its first outcome.

        :param change: the change.
        """
        first_outcome = self._applied.get(change.change_id)
        if first_outcome is not None:
            return first_outcome
        outcome = self._apply_new(change)
        # Unavailable is no decision: a retry of the change is evaluated.
        if not isinstance(outcome, Unavailable):
            self._record(change.change_id, outcome)
        return outcome

    def _record(self, change_id: str, outcome: ChangeOutcome) -> None:
        if outcome == Rejected(reason=REASON_EXPIRED):
            return
        self._applied[change_id] = outcome
        while len(self._applied) > self._max_applied:
            oldest = self._applied.pop(next(iter(self._applied)))
            if isinstance(oldest, Accepted):
                self._floor = oldest.version

    def _apply_new(self, change: Change) -> ChangeOutcome:
        fields = [
            field
            for field in CHANGE_FIELDS
            if getattr(change, field) is not None
        ]
        if len(fields) != 1:
            return Rejected(reason='a change sets exactly one part')
        if change.base_version > self.config.version:
            # A decision now could differ from that on a retry, because a
            # later change may make the base version match.
            return Unavailable(
                reason='the base version is newer than the configuration'
            )
        if fields[0] in self._winners:
            return self._replace_list(fields[0], change)
        return self._change_drains(change)

    def _replace_list(self, field: str, change: Change) -> ChangeOutcome:
        current_version: int = getattr(self.config, f'{field}_version')
        if change.base_version != current_version:
            if change.base_version < self._floor:
                return Rejected(reason=REASON_EXPIRED)
            return Conflict(
                version=current_version, winner_id=self._winners[field]
            )
        version = self.config.version + 1
        self._winners[field] = change.change_id
        self.config = msgspec.structs.replace(
            self.config,
            version=version,
            **{field: getattr(change, field), f'{field}_version': version},
        )
        return Accepted(version=version)

    def _change_drains(self, change: Change) -> ChangeOutcome:
        if change.base_version < self._floor:
            return Rejected(reason=REASON_EXPIRED)
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
