"""Index of the rate and weight that each caller has at each service."""

from typing import Self

import msgspec

from .config_model import Allowance, Caller, Configuration, Plan
from .types import PlanName

#: A caller and a service.
CallerService = tuple[str, str]


class Entitlement(msgspec.Struct, frozen=True):
    """Rate and weight of one caller at one service, over all instances.

    :param plan: name of the caller's plan.
    :param weight: weight of the plan under overload.
    :param rate_per_s: weighted requests per second.
    :param burst: weighted requests that may arrive at once.
    :param burst_s: time in seconds in which the rate amounts to the burst.
    """

    plan: str
    weight: float
    rate_per_s: float
    burst: float
    burst_s: float


class Entitlements:
    """Entitlements of a configuration, by caller and service.

    :param by_caller_service: entitlement of each caller and service.
    """

    def __init__(
        self, by_caller_service: dict[CallerService, Entitlement]
    ) -> None:
        self.by_caller_service = by_caller_service

    @classmethod
    def from_config(cls, cfg: Configuration) -> Self:
        """Build the index of a configuration.

        :param cfg: the configuration.
        """
        plans = {plan.name: plan for plan in cfg.plans.plans}
        allowances_by_plan: dict[str, list[Allowance]] = {}
        for allowance in cfg.allowances.allowances:
            allowances_by_plan.setdefault(allowance.plan, []).append(allowance)
        pairs: dict[CallerService, Entitlement] = {}
        for caller in cfg.plans.callers:
            for entry in allowances_by_plan.get(caller.plan, ()):
                entitled = _entitlement(plans, caller, entry)
                pairs[caller.name, entry.service] = entitled
        return cls(pairs)

    def get(self, caller: str, service: str) -> Entitlement | None:
        """Return the entitlement of a caller at a service, if any.

        :param caller: name of the caller.
        :param service: name of the service.
        """
        return self.by_caller_service.get((caller, service))


def _entitlement(
    plans: dict[PlanName, Plan],
    caller: Caller,
    allowance: Allowance,
) -> Entitlement:
    plan = plans.get(caller.plan)
    return Entitlement(
        plan=caller.plan,
        weight=plan.weight if plan else 1,
        rate_per_s=allowance.rate_per_s,
        burst=allowance.rate_per_s * allowance.burst_s,
        burst_s=allowance.burst_s,
    )
