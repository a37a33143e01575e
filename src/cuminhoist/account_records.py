"""Defines the records in which instances exchange their accounts."""

import abc
import enum

import msgspec


class Outcome(enum.StrEnum):
    """How a request ended."""

    answered = 'answered'
    #: The target answered with a server error.
    failed = 'failed'
    refused = 'refused'
    unknown = 'unknown'
    cancelled = 'cancelled'


class AccountLine(msgspec.Struct, frozen=True):
    """Count of requests with equal names, outcome and reason.

    :param reason: why the requests were refused or are unknown; empty if
        they were answered.
    :param count: number of requests.
    :param weight: sum of their weights.
    """

    caller: str
    service: str
    kind: str
    outcome: Outcome
    reason: str
    count: int
    weight: float


class PromiseLine(msgspec.Struct, frozen=True):
    """Weight that plans have promised a caller so far.

    :param weight: the instance's share of the promised rate, integrated over
        time.
    """

    caller: str
    service: str
    weight: float


class OpenedLine(msgspec.Struct, frozen=True):
    """Count of requests that have arrived, with or without an outcome.

    :param count: number of requests.
    """

    caller: str
    service: str
    count: int


class LatencyLine(msgspec.Struct, frozen=True):
    """Latencies of answered requests.

    :param histogram: encoded HDR histogram, in units of 0.1 ms.
    """

    service: str
    kind: str
    histogram: bytes


class AccountSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All accounts of one incarnation of an instance.

    All values but ``open_tickets`` only grow.

    :param open_tickets: number of requests without an outcome yet.
    """

    instance: str
    incarnation: str
    lines: tuple[AccountLine, ...] = ()
    opened: tuple[OpenedLine, ...] = ()
    promises: tuple[PromiseLine, ...] = ()
    latencies: tuple[LatencyLine, ...] = ()
    open_tickets: int = 0


class AccountSource(abc.ABC):
    """Counts the outcomes of the requests of one instance."""

    @abc.abstractmethod
    def snapshot(self) -> AccountSnapshot:
        """Return all accounts since the start of the process."""
