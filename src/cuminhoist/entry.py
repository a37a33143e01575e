"""The path of a request through an entry instance."""

from collections.abc import AsyncIterator

import msgspec
from returns.result import Failure, Result

from .forwarding import Answer, Attempt, Headers, TargetClient
from .hops import Hop
from .inforce import ConfigInForce
from .lists import Caller, Configuration
from .problems import Refusal
from .settings import Kind, Service, Target, Topology
from .types import DrainScope, Ran, Reason


class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request as the HTTP layer read it.

    :param deadline_s: time that the caller gives it, in seconds.
    :param hop: the instance that forwarded it; None from a caller itself.
    """

    service: str
    caller: str
    kind: str
    method: str
    path: str
    headers: Headers
    body: AsyncIterator[bytes]
    deadline_s: float | None = None
    key: str = ''
    hop: Hop | None = None


class CheckedRequest(msgspec.Struct, frozen=True):
    """A request whose caller, service and kind are known."""

    req: CallerRequest
    caller: Caller
    service: Service
    kind: Kind
    timeout_s: float


def _refuse(reason: Reason, detail: str, plan: str = '') -> Failure[Refusal]:
    return Failure(
        Refusal(ran=Ran.not_run, reason=reason, detail=detail, plan=plan)
    )


class EntryService:
    """Admits requests and carries them to targets.

    :param topology: the deployment.
    :param in_force: the configuration in force.
    :param client: sends attempts to targets.
    :param domain: failure domain of this instance.
    """

    def __init__(
        self,
        topology: Topology,
        in_force: ConfigInForce,
        client: TargetClient,
        domain: str,
    ) -> None:
        self._topology = topology
        self._in_force = in_force
        self._client = client
        self._domain = domain
        self._turn = 0

    async def serve(self, req: CallerRequest) -> Result[Answer, Refusal]:
        """Return the answer of a target, or a refusal.

        :param req: the request.
        """
        cfg = self._in_force.current
        if cfg is None:
            return _refuse(Reason.no_state, 'No configuration is in force yet.')
        checked = self._check(cfg, req)
        if isinstance(checked, Failure):
            return checked
        request = checked.unwrap()
        target = self._choose(cfg, request.service)
        if target is None:
            return _refuse(
                Reason.no_target,
                f'No target of {req.service} takes work.',
                request.caller.plan,
            )
        return await self._client.send(
            target,
            Attempt(
                req.method,
                req.path,
                req.headers,
                req.body,
                request.timeout_s,
            ),
        )

    def _check(
        self,
        cfg: Configuration,
        req: CallerRequest,
    ) -> Result[CheckedRequest, Refusal]:
        caller = cfg.plans.caller(req.caller)
        service = self._topology.service(req.service)
        if caller is None:
            return _refuse(Reason.unknown_caller, f'No caller {req.caller!r}.')
        if service is None:
            return _refuse(Reason.unknown_service, f'No {req.service!r}.')
        kind = service.kind(req.kind)
        allowance = cfg.allowances.allowance(caller.plan, service.name)
        if kind is None or allowance is None:
            return _refuse(
                Reason.kind_not_allowed,
                f'{req.kind!r} of {req.service} is not allowed.',
                caller.plan,
            )
        longest = kind.max_deadline_ms / 1000
        timeout_s = min(req.deadline_s or longest, longest)
        return _checked(req, caller, service, kind, timeout_s)

    def _choose(self, cfg: Configuration, service: Service) -> Target | None:
        drained = {
            drain.name
            for drain in cfg.drains
            if drain.scope == DrainScope.upstream
        }
        usable = [
            target
            for target in self._topology.targets
            if target.service == service.name and target.name not in drained
        ]
        near = [target for target in usable if target.domain == self._domain]
        choice = near or usable
        self._turn += 1
        return choice[self._turn % len(choice)] if choice else None


def _checked(
    req: CallerRequest,
    caller: Caller,
    service: Service,
    kind: Kind,
    timeout_s: float,
) -> Result[CheckedRequest, Refusal]:
    return Result.from_value(
        CheckedRequest(req, caller, service, kind, timeout_s),
    )
