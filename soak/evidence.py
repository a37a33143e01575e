"""What callers, targets and operators saw."""

import enum

import msgspec

from .plan import FaultKind


class Run(msgspec.Struct, frozen=True):
    """One run of a request at a target."""

    request_id: str
    target: str
    service: str
    domain: str
    method: str
    path: str
    at: float


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller and how it ended.

    :param instance: the entry instance that had it.
    :param status: status of the answer; 0 if there was none.
    :param error: why there is none.
    :param faulty: what is wrong with the answer, or empty.
    """

    request_id: str
    instance: str
    path: str
    once: bool
    sent_at: float
    ended_at: float
    status: int
    error: str = ''
    faulty: str = ''


class OrderKind(enum.StrEnum):
    """What an operator did."""

    configure = 'configure'
    invalid = 'invalid'
    read = 'read'
    drain = 'drain'
    undrain = 'undrain'


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """One order of an operator, and its answer.

    :param version: of the configuration that was sent or read.
    :param status: of the answer; 0 if there was none.
    """

    kind: OrderKind
    control: str
    sent_at: float
    ended_at: float
    status: int
    version: int = 0
    domain: str = ''


class InjectedFault(msgspec.Struct, frozen=True):
    """A fault that was done, and when it was over."""

    kind: FaultKind
    on: str
    began: float
    ended: float


class Evidence(msgspec.Struct):
    """Everything that was seen in one soak, with times of one clock.

    :param stalls: when the soak itself did not run, begin and end.
    :param fault_free_from: when the last fault was over.
    :param exits: processes that ended by themselves, with their status.
    :param leaving: when each target was listed as leaving.
    """

    runs: list[Run] = msgspec.field(default_factory=list)
    calls: list[Call] = msgspec.field(default_factory=list)
    orders: list[Order] = msgspec.field(default_factory=list)
    injected_faults: list[InjectedFault] = msgspec.field(
        name='harms',
        default_factory=list,
    )
    stalls: list[tuple[float, float]] = msgspec.field(default_factory=list)
    exits: list[str] = msgspec.field(default_factory=list)
    leaving: dict[str, float] = msgspec.field(default_factory=dict)
    fault_free_from: float = msgspec.field(name='calm_from', default=0)
    ended_at: float = 0
