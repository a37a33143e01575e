"""Records of what callers, targets and operators saw during a soak."""

import enum

import msgspec

from .plan import FaultKind


class Run(msgspec.Struct, frozen=True):
    """One run of a request at a target.

    :param target: identity of the target, with its generation.
    :param service: service of the target.
    :param domain: failure domain of the target.
    :param at: start of the run, in seconds of the monotonic clock.
    """

    request_id: str
    target: str
    service: str
    domain: str
    method: str
    path: str
    at: float


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached a target and was meant for its incarnation.

    :param target: identity of the target, with its generation.
    :param at: when it arrived, in seconds of the monotonic clock.
    :param pause_s: for how long the target asked in its 503 to get no more
        requests, in seconds; 0 if it did not.
    :param limit_per_s: the limit that its answer named, in requests per
        second; 0 for none.
    """

    request_id: str
    target: str
    at: float
    pause_s: float = 0
    limit_per_s: float = 0


class Crash(msgspec.Struct, frozen=True):
    """The end of a target under a request that it ran.

    :param target: identity of the target, with its generation.
    :param at: when it ended, in seconds of the monotonic clock.
    """

    request_id: str
    path: str
    target: str
    at: float


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a caller and its outcome.

    :param instance: the entry instance that it was sent to.
    :param once: whether the request may run at most once.
    :param sent_at: when it was sent, in seconds of the monotonic clock.
    :param ended_at: when the answer or the error came, on that clock.
    :param status: status of the answer; 0 if no answer came.
    :param error: why no answer came; empty if one came.
    :param faulty: what is wrong with the answer; empty if nothing is.
    :param leaving_target: the target that said in the answer that it leaves;
        empty if none did.
    :param refusal: why the instance refused it; empty if it did not.
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
    leaving_target: str = ''
    refusal: str = ''


class OrderKind(enum.StrEnum):
    """What an operator asked a control instance to do."""

    configure = 'configure'
    invalid = 'invalid'
    read = 'read'
    drain = 'drain'
    undrain = 'undrain'


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """One order of an operator and the answer to it.

    :param control: name of the control instance that it was sent to.
    :param sent_at: when it was sent, in seconds of the monotonic clock.
    :param ended_at: when the answer or the error came, on that clock.
    :param status: status of the answer; 0 if no answer came.
    :param version: version of the configuration that was sent or read.
    :param domain: failure domain that was drained or undrained.
    """

    kind: OrderKind
    control: str
    sent_at: float
    ended_at: float
    status: int
    version: int = 0
    domain: str = ''


class InjectedFault(msgspec.Struct, frozen=True):
    """A fault that was injected.

    :param on: name of the instance, target or domain that it was injected
        into; empty if the kind has no single subject.
    :param began: its begin, in seconds of the monotonic clock.
    :param ended: when it was undone, on that clock.
    """

    kind: FaultKind
    on: str
    began: float
    ended: float


class Evidence(msgspec.Struct):
    """Everything that was seen in one soak.

    All times are seconds of the monotonic clock of the soak's process.

    :param injected_faults: faults that were injected and undone.
    :param stalls: begin and end of each time in which the soak's own
        process did not run.
    :param exits: unexpected exits of processes, with their exit status.
    :param leaving: by target, when it was first listed as leaving.
    :param fault_free_from: when the last fault was undone.
    :param ended_at: end of the traffic.
    """

    runs: list[Run] = msgspec.field(default_factory=list)
    arrivals: list[Arrival] = msgspec.field(default_factory=list)
    crashes: list[Crash] = msgspec.field(default_factory=list)
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
