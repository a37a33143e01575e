"""Types of the configuration that operators set.

The configuration has two lists, plans and allowances, and the announced
drains. Operators replace a list or announce a drain by a change, which names
the version that it starts from, so that of two concurrent changes only one
is accepted.
"""

from typing import Self

import msgspec

from .types import (
    CallerName,
    DrainScope,
    KindName,
    PlanName,
    ServiceName,
)

#: Version before the first accepted change, which makes it 1.
EMPTY_VERSION = 0


class _Strict(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base of the lists and their items; decoding rejects unknown fields."""


class Plan(_Strict, frozen=True):
    """A plan that callers can be on.

    :param weight: share of capacity under overload, relative to other plans.
    """

    name: PlanName
    weight: float = 1.0


class Caller(_Strict, frozen=True):
    """A customer and its plan."""

    name: CallerName
    plan: PlanName


class Plans(_Strict, frozen=True):
    """The list of plans, and the plan of each caller."""

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
    """Rate and request kinds that a plan gives each caller of a service.

    :param rate_per_s: weighted requests per second, over all instances.
    :param burst_s: largest burst, in seconds of the rate.
    :param kinds: allowed request kinds; empty for all.
    """

    plan: PlanName
    service: ServiceName
    rate_per_s: float
    burst_s: float = 2.0
    kinds: tuple[KindName, ...] = ()


class ShiftCap(_Strict, frozen=True):
    """Limit on the growth of the traffic that shifts to another region.

    :param percent: growth per window, as a percentage of the service's
        capacity in the receiving region.
    :param window_s: length of a window, in seconds.
    """

    service: ServiceName
    percent: float = 10.0
    window_s: float = 10.0


class Allowances(_Strict, frozen=True):
    """The list of allowances, and the shift cap of each service."""

    allowances: tuple[Allowance, ...] = ()
    shift_caps: tuple[ShiftCap, ...] = ()

    def allowance(self, plan: str, service: str) -> Allowance | None:
        """Return the allowance of a plan for a service, if there is one.

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
    """The lists and drains in force after an accepted change.

    :param version: number of accepted changes of any kind.
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
    """A change by an operator; sets exactly one of its last four fields.

    :param change_id: id of the change; a resend has the id of the original.
    :param base_version: version of the list that the change replaces. For
        drains, version of the configuration that their author read; it
        tells a new change from a resend whose id control has forgotten.
    :param plans: the new list of plans.
    :param allowances: the new list of allowances.
    :param drain: a drain to add.
    :param undrain: the drain to remove; only its scope and name count.
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

        :param change_id: id of the change.
        :param drain: the drain.
        :param base_version: version of the configuration that was read.
        """
        return cls(
            change_id=change_id,
            base_version=base_version,
            drain=drain,
        )


class Accepted(msgspec.Struct, frozen=True, tag='accepted'):
    """The change was accepted and is durable on a quorum."""

    version: int


class Conflict(msgspec.Struct, frozen=True, tag='conflict'):
    """Another change was accepted first; the base version is outdated.

    :param version: present version of the list.
    :param winner_id: id of the change that was accepted.
    """

    version: int
    winner_id: str


class Rejected(msgspec.Struct, frozen=True, tag='rejected'):
    """The change is invalid; sending it again would not help."""

    reason: str


class Unavailable(msgspec.Struct, frozen=True, tag='unavailable'):
    """There is no decision on the change yet; the client may resend it.

    :param reason: why there is no decision.
    :param leader: name of the instance to send it to, if known.
    """

    reason: str
    leader: str = ''


ChangeOutcome = Accepted | Conflict | Rejected | Unavailable
