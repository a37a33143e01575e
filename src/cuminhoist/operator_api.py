"""Serves operators over HTTP: changes, versions in force, and accounts.

Any instance answers the queries. Only the control leader decides on a change;
other instances name a control instance to send it to. Callers read their own
accounts here as well.
"""

import hmac
from collections.abc import Callable
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
_STATUS_CODES: dict[type[object], int] = {
    Accepted: 200,
    Conflict: 409,
    Rejected: 422,
    Unavailable: 503,
}
_AnyRequest = Request[Any, Any, Any]
_JsonAnswer = Response[bytes]


class Invalid(msgspec.Struct, frozen=True, kw_only=True, tag='rejected'):
    """A change with invalid fields; decodes as :class:`Rejected` as well."""

    reason: str
    errors: tuple[FieldError, ...]


class ControlAddress(msgspec.Struct, frozen=True):
    """A control instance and its HTTP address."""

    name: str
    address: str


class Status(msgspec.Struct, frozen=True, kw_only=True):
    """State of one instance.

    :param currency: whether the version in force is up to date.
    :param age_ms: time since the version was last confirmed, in
        milliseconds; -1 if it never was.
    :param control: state of its control replica, None without that role.
    :param controls: all control instances of the deployment.
    :param tasks_down: its long-lived tasks that fail again and again.
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
    tasks_down: tuple[str, ...] = ()


class Initialised(msgspec.Struct, frozen=True):
    """The cluster was initialised."""

    cluster_id: str


class OperatorApiDependencies(msgspec.Struct, frozen=True, kw_only=True):
    """Dependencies of :class:`OperatorApi`.

    :param incarnation: id of the present start of the instance's process.
    :param control_log: its control replica, None without that role.
    :param accounts: its accounts, None if it keeps none.
    :param tasks_down: returns its tasks that fail again and again.
    """

    cfg: Settings
    topology: Topology
    incarnation: str
    in_force: ConfigInForce
    delivery: ConfigDelivery
    transport: Transport
    control_log: ControlLog | None = None
    accounts: AccountSource | None = None
    tasks_down: Callable[[], tuple[str, ...]] = tuple


class OperatorApi:
    """Answers operators' requests at one instance.

    :param dependencies: parts of the instance that the answers use.
    """

    def __init__(self, dependencies: OperatorApiDependencies) -> None:
        self._dependencies = dependencies
        self.operator_token = dependencies.cfg.operator_token
        self.instance_querier = InstanceQuerier(
            dependencies.cfg.name,
            dependencies.topology,
            dependencies.transport,
            self._versions_in_force,
            dependencies.accounts,
        )

    async def submit(self, body: bytes) -> ChangeOutcome | Invalid:
        """Submit a change to the control log.

        :param body: JSON of the change.
        """
        try:
            change = msgspec.json.decode(body, type=Change)
        except (msgspec.DecodeError, RecursionError) as exc:
            return _invalid((field_error_from('body', exc, Change),))
        dependencies = self._dependencies
        errors = check_change(
            change, dependencies.topology, self._config_of_leader()
        )
        if errors:
            return _invalid(errors)
        if dependencies.control_log is None:
            return self._no_control_role()
        return await dependencies.control_log.submit(change)

    async def init(self) -> Initialised | Rejected | Unavailable:
        """Initialise a cluster with the empty replica as first voter."""
        if self._dependencies.control_log is None:
            return self._no_control_role()
        outcome = await self._dependencies.control_log.bootstrap_cluster()
        if isinstance(outcome, Failure):
            return Rejected(reason=outcome.failure())
        return Initialised(outcome.unwrap())

    def config(self) -> Configuration:
        """Return the configuration in force, empty before the first change."""
        return self._dependencies.in_force.current or Configuration()

    def status(self) -> Status:
        """Return the state of the instance."""
        dependencies = self._dependencies
        config = self.config()
        return Status(
            name=dependencies.cfg.name,
            incarnation=dependencies.incarnation,
            domain=dependencies.cfg.domain,
            version=dependencies.in_force.version,
            plans_version=config.plans_version,
            allowances_version=config.allowances_version,
            currency=dependencies.delivery.currency(),
            age_ms=dependencies.delivery.freshness.age_ms(),
            drains=config.drains,
            control=None
            if dependencies.control_log is None
            else dependencies.control_log.status(),
            controls=tuple(
                ControlAddress(control.name, address_of(control))
                for control in dependencies.topology.control_instances()
            ),
            tasks_down=dependencies.tasks_down(),
        )

    async def report(self) -> Report:
        """Return the accounts of all instances."""
        entitlements = Entitlements.from_config(self.config())
        return await self.instance_querier.report(entitlements)

    async def caller_report(self, caller: str, requester: str) -> Report:
        """Return the accounts of one caller.

        :param caller: name of the caller.
        :param requester: name of the caller that sent the request.
        """
        if caller != requester:
            raise PermissionDeniedException(
                f'header {CALLER_HEADER}: must name the caller of the path',
            )
        if self.config().plans.caller(caller) is None:
            raise NotFoundException(f'caller {caller[:64]!r} is on no plan')
        return (await self.report()).for_caller(caller)

    def _config_of_leader(self) -> Configuration | None:
        # Allowances may only name existing plans. A follower may have an
        # outdated list of plans, so it skips this check and names the leader.
        control_log = self._dependencies.control_log
        if control_log is None or control_log.status().role != 'leader':
            return None
        return control_log.committed_config()

    def _versions_in_force(self) -> Held:
        return Held(
            version=self._dependencies.in_force.version,
            currency=self._dependencies.delivery.currency(),
            incarnation=self._dependencies.incarnation,
        )

    def _no_control_role(self) -> Unavailable:
        controls = self._dependencies.topology.control_instances()
        return Unavailable(
            reason='this instance has no control role',
            leader=controls[0].name if controls else '',
        )


def operator_handlers(api: OperatorApi) -> list[Any]:
    """Return the handlers of operators' requests and callers' reports.

    :param api: makes the answers.
    """
    guards = [_token_guard(api.operator_token)]

    @post(
        '/v1/control/changes',
        guards=guards,
        request_max_body_size=MAX_BODY_BYTES,
    )
    async def submit(request: _AnyRequest) -> _JsonAnswer:
        outcome = await api.submit(await request.body())
        return _encode_answer(outcome, _STATUS_CODES.get(type(outcome), 422))

    @post('/v1/control/init', guards=guards)
    async def init() -> _JsonAnswer:
        outcome = await api.init()
        is_initialised = isinstance(outcome, Initialised)
        error_status = 503 if isinstance(outcome, Unavailable) else 409
        return _encode_answer(outcome, 200 if is_initialised else error_status)

    @get('/v1/control/config', guards=guards, sync_to_thread=False)
    def show_config() -> Configuration:
        return api.config()

    @get('/v1/status', guards=guards, sync_to_thread=False)
    def show_status() -> Status:
        return api.status()

    @get('/v1/control/instances', guards=guards)
    async def show_instances() -> Instances:
        return await api.instance_querier.instances()

    @get('/v1/report', guards=guards)
    async def show_report() -> Report:
        return await api.report()

    return [
        submit,
        init,
        show_config,
        show_status,
        show_instances,
        show_report,
        _caller_report_handler(api),
    ]


def _caller_report_handler(api: OperatorApi) -> Any:
    @get('/v1/callers/{caller:str}/report')
    async def show_own_report(caller: str, request: _AnyRequest) -> Report:
        requester = request.headers.get(CALLER_HEADER, '')
        return await api.caller_report(caller, requester)

    return show_own_report


def _token_guard(token: str) -> Any:
    expected = f'Bearer {token}'.encode()

    def guard(
        connection: ASGIConnection[Any, Any, Any, Any],
        _handler: BaseRouteHandler,
    ) -> None:
        sent = connection.headers.get('authorization', '').encode()
        if token and not hmac.compare_digest(sent, expected):
            raise NotAuthorizedException(
                'header authorization: needs "Bearer" and the operator token',
            )

    return guard


def _encode_answer(body: object, status: int) -> _JsonAnswer:
    return Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type='application/json',
    )


def _invalid(errors: tuple[FieldError, ...]) -> Invalid:
    reason = '; '.join(str(error) for error in errors[:10])
    return Invalid(reason=reason, errors=errors[:100])
