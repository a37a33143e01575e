"""The replicated state of the control instances."""

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

PARTS = ('plans', 'allowances', 'drain', 'undrain')

#: About nine days of changes at 21,000 a day.
MAX_APPLIED = 200_000

REASON_EXPIRED = 'expired'


class StateImage(msgspec.Struct, frozen=True, array_like=True):
    """The whole state as it stands in a snapshot.

    :param winners: id of the last accepted change of each list.
    :param floor: version of the newest acceptance that was evicted.
    :param applied: ids and first outcomes, the oldest first.
    """

    config: Configuration
    winners: dict[str, str]
    floor: int
    applied: tuple[tuple[str, ChangeOutcome], ...]


class ControlState:
    """Applies changes in log order; equal logs give equal states.

    The outcomes of the last ``max_applied`` changes are kept. A change
    whose outcome was evicted is never run again. A list change that was
    accepted moved its list past its own base version, so it cannot match
    again. A drain names in ``base_version`` the configuration version that
    its author had seen, and one below the newest evicted acceptance is
    refused.

    :param max_applied: how many outcomes are kept.
    """

    def __init__(self, max_applied: int = MAX_APPLIED) -> None:
        self.config = Configuration()
        self._max_applied = max_applied
        self._applied: dict[str, ChangeOutcome] = {}
        self._winners: dict[str, str] = {'plans': '', 'allowances': ''}
        self._floor = EMPTY_VERSION

    @classmethod
    def from_image(
        cls,
        image: StateImage,
        max_applied: int = MAX_APPLIED,
    ) -> Self:
        """Build the state that a snapshot holds.

        :param image: content of the snapshot.
        :param max_applied: how many outcomes are kept.
        """
        state = cls(max_applied)
        state.config = image.config
        state._winners = dict(image.winners)
        state._floor = image.floor
        state._applied = dict(image.applied)
        return state

    def image(self) -> StateImage:
        """Return the whole state for a snapshot."""
        return StateImage(
            self.config,
            dict(self._winners),
            self._floor,
            tuple(self._applied.items()),
        )

    def first_outcome(self, change_id: str) -> ChangeOutcome | None:
        """Return the outcome of a change that was applied before.

        :param change_id: identity of the change.
        """
        return self._applied.get(change_id)

    def apply(self, change: Change) -> ChangeOutcome:
        """Apply one change and return its outcome.

        A change that was applied before gets its first outcome again.

        :param change: the change.
        """
        first = self._applied.get(change.change_id)
        if first is not None:
            return first
        outcome = self._apply_new(change)
        # Unavailable means not decided: a resend is evaluated again.
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
        parts = [part for part in PARTS if getattr(change, part) is not None]
        if len(parts) != 1:
            return Rejected(reason='a change sets exactly one part')
        if change.base_version > self.config.version:
            # A later change could otherwise make the base version match,
            # and a resend would get another answer than the first one.
            return Unavailable(reason='the base version is not known yet')
        if parts[0] in self._winners:
            return self._replace_list(parts[0], change)
        return self._change_drains(change)

    def _replace_list(self, part: str, change: Change) -> ChangeOutcome:
        current: int = getattr(self.config, f'{part}_version')
        if change.base_version != current:
            if change.base_version < self._floor:
                return Rejected(reason=REASON_EXPIRED)
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
