"""The operators' two lists (plans, allowances), drains, and changes."""

from typing import Self

import msgspec

from .types import (
    CallerName,
    DrainScope,
    KindName,
    PlanName,
    ServiceName,
)

#: Empty lists have this version; the first accepted change makes it 1.
EMPTY_VERSION = 0


class _Strict(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base of all list items: unknown fields are errors."""


class Plan(_Strict, frozen=True):
    """A plan that callers can be on.

    :param weight: share of capacity under overload, relative to others.
    """

    name: PlanName
    weight: float = 1.0


class Caller(_Strict, frozen=True):
    """A customer and its plan."""

    name: CallerName
    plan: PlanName


class Plans(_Strict, frozen=True):
    """The first list: the customers' plans."""

    plans: tuple[Plan, ...] = ()
    callers: tuple[Caller, ...] = ()

    def caller(self, name: str) -> Caller | None:
        """Return the caller with this name, if there is one.

        :param name: name of the caller.
        """
        return next(
            (caller for caller in self.callers if caller.name == name),
            None,
        )

    def plan(self, name: str) -> Plan | None:
        """Return the plan with this name, if there is one.

        :param name: name of the plan.
        """
        return next((plan for plan in self.plans if plan.name == name), None)


class Allowance(_Strict, frozen=True):
    """What each caller on a plan may use of a service.

    :param rate_per_s: weighted requests a second over all instances.
    :param burst_s: how many seconds of the rate may come at once.
    :param kinds: kinds of request that are allowed; empty for all.
    """

    plan: PlanName
    service: ServiceName
    rate_per_s: float
    burst_s: float = 2.0
    kinds: tuple[KindName, ...] = ()


class ShiftCap(_Strict, frozen=True):
    """Cap on traffic that moves to another region.

    :param percent: growth a window, as a percentage of the service's
        capacity in the receiving region.
    :param window_s: length of a window in seconds.
    """

    service: ServiceName
    percent: float = 10.0
    window_s: float = 10.0


class Allowances(_Strict, frozen=True):
    """The second list: what each plan may use."""

    allowances: tuple[Allowance, ...] = ()
    shift_caps: tuple[ShiftCap, ...] = ()

    def allowance(self, plan: str, service: str) -> Allowance | None:
        """Return what a plan may use of a service, if anything.

        :param plan: name of the plan.
        :param service: name of the service.
        """
        return next(
            (
                allowance
                for allowance in self.allowances
                if allowance.plan == plan and allowance.service == service
            ),
            None,
        )


class Drain(_Strict, frozen=True):
    """A planned drain.

    :param scope: what is drained.
    :param name: name of the upstream, failure domain, region or entry.
    :param starts_at: Unix time in seconds; 0 for at once.
    """

    scope: DrainScope
    name: str
    starts_at: float = float(0)


class Configuration(_Strict, frozen=True):
    """All that operators have declared, at one version.

    :param version: counts accepted changes of any kind.
    :param plans_version: version of the last change of the plans.
    :param allowances_version: version of the last change of the allowances.
    """

    version: int = EMPTY_VERSION
    plans_version: int = EMPTY_VERSION
    allowances_version: int = EMPTY_VERSION
    plans: Plans = Plans()
    allowances: Allowances = Allowances()
    drains: tuple[Drain, ...] = ()


class Change(_Strict, frozen=True):
    """A change that an operator asks for; exactly one part is set.

    :param change_id: identity of the change; resends carry the same.
    :param base_version: version of the list that the change replaces; for
        drains the version of the configuration that their author read,
        which tells a resend that is too old from a new change.
    :param plans: the new list of plans.
    :param allowances: the new list of allowances.
    :param drain: a drain to add.
    :param undrain: a drain to remove, by scope and name.
    """

    change_id: str
    base_version: int = EMPTY_VERSION
    plans: Plans | None = None
    allowances: Allowances | None = None
    drain: Drain | None = None
    undrain: Drain | None = None

    @classmethod
    def from_drain(
        cls,
        change_id: str,
        drain: Drain,
        base_version: int = EMPTY_VERSION,
    ) -> Self:
        """Build a change that announces a drain.

        :param change_id: identity of the change.
        :param drain: the drain.
        :param base_version: version of the configuration that was read.
        """
        return cls(
            change_id=change_id,
            base_version=base_version,
            drain=drain,
        )


class Accepted(msgspec.Struct, frozen=True, tag='accepted'):
    """A change was accepted and is durable on a majority."""

    version: int


class Conflict(msgspec.Struct, frozen=True, tag='conflict'):
    """Another change won; the list is not at the base version any more."""

    version: int
    winner_id: str


class Rejected(msgspec.Struct, frozen=True, tag='rejected'):
    """A change can never be accepted."""

    reason: str


class Unavailable(msgspec.Struct, frozen=True, tag='unavailable'):
    """The change was not decided; the same change may be sent again.

    :param reason: why there is no decision.
    :param leader: name of the instance to ask instead, if known.
    """

    reason: str
    leader: str = ''


ChangeOutcome = Accepted | Conflict | Rejected | Unavailable
