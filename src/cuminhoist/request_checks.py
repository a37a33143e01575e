"""Checks requests of callers against the configuration in force."""

from returns.result import Result, Success

from .caller_request import CallerRequest, CheckedRequest, ReplayBody
from .clock import Clock
from .config_in_force import ConfigInForce
from .config_model import Configuration
from .entitlements import Entitlements
from .problems import Refusal
from .refusals import refuse
from .settings import RequestKind, Service, Topology
from .types import Reason

_MS_PER_S = 1000


class RequestChecks:
    """Looks up caller, service, kind, entitlement and deadline of requests.

    :param topology: the deployment.
    :param in_force: the configuration in force.
    :param clock: time source.
    """

    def __init__(
        self,
        topology: Topology,
        in_force: ConfigInForce,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._services: dict[str, Service] = {
            service.name: service for service in topology.services
        }
        self._region_by_domain: dict[str, str] = {
            entry.name: entry.region for entry in topology.domains
        }
        self._entitlements: Entitlements | None = None
        self._allowed_kinds: dict[tuple[str, str], frozenset[str]] = {}
        self._plan_by_caller: dict[str, str] = {}
        in_force.subscribe(self._on_change)

    def check(
        self,
        req: CallerRequest,
        home_domain: str,
    ) -> Result[CheckedRequest, Refusal]:
        """Return the checked request with its entitlement, or a refusal.

        :param req: the request.
        :param home_domain: home failure domain of the client.
        """
        if self._entitlements is None:
            return refuse(
                Reason.no_state,
                'No configuration is in force yet.',
                retry_after_ms=_MS_PER_S,
            )
        plan = self._plan_by_caller.get(req.caller)
        if plan is None:
            return refuse(Reason.unknown_caller, f'No caller {req.caller!r}.')
        service = self._services.get(req.service)
        if service is None:
            return refuse(
                Reason.unknown_service,
                f'No service {req.service!r}.',
                plan,
            )
        return self._check_kind(req, home_domain, plan, service)

    def _check_kind(
        self,
        req: CallerRequest,
        home_domain: str,
        plan: str,
        service: Service,
    ) -> Result[CheckedRequest, Refusal]:
        kind = service.kind(req.kind)
        entitled = (
            self._entitlements.get(req.caller, service.name)
            if self._entitlements
            else None
        )
        kinds = self._allowed_kinds.get((plan, service.name), frozenset())
        if kind is None or entitled is None or not _allows(kinds, kind):
            return refuse(
                Reason.kind_not_allowed,
                f'Plan {plan!r} does not allow {req.kind!r} of '
                f'{service.name!r}.',
                plan,
            )
        longest_s = kind.max_deadline_ms / _MS_PER_S
        timeout_s = min(req.deadline_s or longest_s, longest_s)
        return Success(
            CheckedRequest(
                req=req,
                service=service,
                kind=kind,
                entitlement=entitled,
                deadline_at=self._clock.now() + timeout_s,
                home_domain=home_domain,
                home_region=self._region_by_domain[home_domain],
                body=ReplayBody(req.body),
            ),
        )

    def _on_change(self, cfg: Configuration) -> None:
        self._entitlements = Entitlements.from_config(cfg)
        self._plan_by_caller = {
            caller.name: caller.plan for caller in cfg.plans.callers
        }
        self._allowed_kinds = {
            (allowance.plan, allowance.service): frozenset(allowance.kinds)
            for allowance in cfg.allowances.allowances
        }


def _allows(kinds: frozenset[str], kind: RequestKind) -> bool:
    return not kinds or kind.name in kinds
