"""HTTP interface for operators."""

import hmac
from typing import Any

import msgspec
from litestar import Request, Response, get, post
from litestar.connection import ASGIConnection
from litestar.exceptions import (
    NotAuthorizedException,
    NotFoundException,
    PermissionDeniedException,
)
from litestar.handlers.base import BaseRouteHandler
from returns.result import Failure

from .account_records import AccountSource
from .config_delivery import ConfigDelivery
from .config_in_force import ConfigInForce
from .config_model import (
    Accepted,
    Change,
    ChangeOutcome,
    Configuration,
    Conflict,
    Drain,
    Rejected,
    Unavailable,
)
from .config_validation import check_change
from .control_log import ControlLog, ReplicaStatus
from .entitlements import Entitlements
from .exceptions import FieldError
from .freshness import Currency
from .instance_queries import Held, InstanceQuerier, Instances, address_of
from .reports import Report
from .settings import Settings, Topology
from .transport import Transport
from .types import CALLER_HEADER
from .validation import field_error_from

MAX_BODY_BYTES = 8 * 1024 * 1024
_STATUS: dict[type[object], int] = {
    Accepted: 200,
    Conflict: 409,
    Rejected: 422,
    Unavailable: 503,
}
_AnyRequest = Request[Any, Any, Any]
_Reply = Response[bytes]


class Invalid(msgspec.Struct, frozen=True, kw_only=True, tag='rejected'):
    """A change with faults; it reads as :class:`Rejected` too."""

    reason: str
    errors: tuple[FieldError, ...]


class ControlAddress(msgspec.Struct, frozen=True):
    """A control instance and its HTTP address."""

    name: str
    address: str


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance says about itself.

    :param age_ms: age of the confirmation of the version; -1 for none.
    :param control: state of its control replica, if it has one.
    :param controls: all control instances of the deployment.
    """

    name: str
    incarnation: str
    domain: str
    version: int
    plans_version: int
    allowances_version: int
    currency: Currency
    age_ms: int
    drains: tuple[Drain, ...]
    control: ReplicaStatus | None
    controls: tuple[ControlAddress, ...]


class Initialised(msgspec.Struct, frozen=True):
    """The cluster was initialised."""

    cluster_id: str


class OperatorApiDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """The parts of an instance that operators' requests use.

    :param control_log: the own control replica, None without that role.
    :param accounts: accounts of the instance, None without them.
    """

    cfg: Settings
    topology: Topology
    incarnation: str
    in_force: ConfigInForce
    delivery: ConfigDelivery
    transport: Transport
    control_log: ControlLog | None = None
    accounts: AccountSource | None = None


class OperatorApi:
    """Answers operators' requests at one instance.

    :param parts: the parts of the instance.
    """

    def __init__(self, parts: OperatorApiDependencies) -> None:
        self._parts = parts
        self.operator_token = parts.cfg.operator_token
        self.instance_querier = InstanceQuerier(
            parts.cfg.name,
            parts.topology,
            parts.transport,
            self._held,
            parts.accounts,
        )

    async def submit(self, body: bytes) -> ChangeOutcome | Invalid:
        """Decide on a change.

        :param body: JSON of the change.
        """
        try:
            change = msgspec.json.decode(body, type=Change)
        except msgspec.DecodeError as exc:
            return _invalid((field_error_from('body', exc, Change),))
        parts = self._parts
        faults = check_change(change, parts.topology, self._known())
        if faults:
            return _invalid(faults)
        if parts.control_log is None:
            return self._not_control()
        return await parts.control_log.submit(change)

    async def init(self) -> Initialised | Rejected | Unavailable:
        """Make the own empty replica the first voter of a cluster."""
        if self._parts.control_log is None:
            return self._not_control()
        outcome = await self._parts.control_log.bootstrap_cluster()
        if isinstance(outcome, Failure):
            return Rejected(reason=outcome.failure())
        return Initialised(outcome.unwrap())

    def config(self) -> Configuration:
        """Return the configuration in force, empty before the first."""
        return self._parts.in_force.current or Configuration()

    def status(self) -> Status:
        """Return the state of the instance."""
        parts = self._parts
        config = self.config()
        return Status(
            name=parts.cfg.name,
            incarnation=parts.incarnation,
            domain=parts.cfg.domain,
            version=parts.in_force.version,
            plans_version=config.plans_version,
            allowances_version=config.allowances_version,
            currency=parts.delivery.currency(),
            age_ms=parts.delivery.freshness.age_ms(),
            drains=config.drains,
            control=None
            if parts.control_log is None
            else parts.control_log.status(),
            controls=tuple(
                ControlAddress(control.name, address_of(control))
                for control in parts.topology.control_instances()
            ),
        )

    async def report(self) -> Report:
        """Return the accounts of all instances."""
        entitlements = Entitlements.from_config(self.config())
        return await self.instance_querier.report(entitlements)

    async def caller_report(self, caller: str, asked_by: str) -> Report:
        """Return the accounts of one caller.

        :param caller: name of the caller.
        :param asked_by: name of the caller that asks.
        """
        if caller != asked_by:
            raise PermissionDeniedException(
                f'header {CALLER_HEADER}: must name the caller of the path',
            )
        if self.config().plans.caller(caller) is None:
            raise NotFoundException(f'caller {caller[:64]!r} is on no plan')
        return (await self.report()).for_caller(caller)

    def _known(self) -> Configuration | None:
        # Only the leader knows the plans that allowances may refer to; a
        # follower may lag, and sends the operator to the leader instead.
        log = self._parts.control_log
        if log is None or log.status().role != 'leader':
            return None
        return log.committed_config()

    def _held(self) -> Held:
        return Held(
            version=self._parts.in_force.version,
            currency=self._parts.delivery.currency(),
            incarnation=self._parts.incarnation,
        )

    def _not_control(self) -> Unavailable:
        controls = self._parts.topology.control_instances()
        return Unavailable(
            reason='this instance has no control role',
            leader=controls[0].name if controls else '',
        )


def operator_handlers(control: OperatorApi) -> list[Any]:
    """Return the handlers of operators' requests and callers' reports.

    :param control: answers them.
    """
    guards = [_token_guard(control.operator_token)]

    @post(
        '/v1/control/changes',
        guards=guards,
        request_max_body_size=MAX_BODY_BYTES,
    )
    async def submit(request: _AnyRequest) -> _Reply:
        outcome = await control.submit(await request.body())
        return _respond(outcome, _STATUS.get(type(outcome), 422))

    @post('/v1/control/init', guards=guards)
    async def init() -> _Reply:
        outcome = await control.init()
        is_done = isinstance(outcome, Initialised)
        status = 503 if isinstance(outcome, Unavailable) else 409
        return _respond(outcome, 200 if is_done else status)

    @get('/v1/control/config', guards=guards, sync_to_thread=False)
    def show_config() -> Configuration:
        return control.config()

    @get('/v1/status', guards=guards, sync_to_thread=False)
    def show_status() -> Status:
        return control.status()

    @get('/v1/control/instances', guards=guards)
    async def show_instances() -> Instances:
        return await control.instance_querier.instances()

    @get('/v1/report', guards=guards)
    async def show_report() -> Report:
        return await control.report()

    return [
        submit,
        init,
        show_config,
        show_status,
        show_instances,
        show_report,
        _caller_handler(control),
    ]


def _caller_handler(control: OperatorApi) -> Any:
    @get('/v1/callers/{caller:str}/report')
    async def show_own_report(caller: str, request: _AnyRequest) -> Report:
        asked_by = request.headers.get(CALLER_HEADER, '')
        return await control.caller_report(caller, asked_by)

    return show_own_report


def _token_guard(token: str) -> Any:
    wanted = f'Bearer {token}'.encode()

    def guard(
        connection: ASGIConnection[Any, Any, Any, Any],
        _handler: BaseRouteHandler,
    ) -> None:
        given = connection.headers.get('authorization', '').encode()
        if token and not hmac.compare_digest(given, wanted):
            raise NotAuthorizedException(
                'header authorization: needs "Bearer" and the operator token',
            )

    return guard


def _respond(body: object, status: int) -> _Reply:
    return Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type='application/json',
    )


def _invalid(errors: tuple[FieldError, ...]) -> Invalid:
    reason = '; '.join(str(error) for error in errors[:10])
    return Invalid(reason=reason, errors=errors[:100])
