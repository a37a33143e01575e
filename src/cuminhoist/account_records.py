"""Accounts of an instance as other instances read them."""

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
    """Requests with the same names, outcome and reason.

    :param reason: why they were refused or are unknown; empty if answered.
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
    """What the plan promised a caller so far.

    :param weight: rate share of the instance, integrated over time.
    """

    caller: str
    service: str
    weight: float


class OpenedLine(msgspec.Struct, frozen=True):
    """Requests that have arrived, with an outcome or without.

    :param count: number of requests.
    """

    caller: str
    service: str
    count: int


class LatencyLine(msgspec.Struct, frozen=True):
    """Latencies of answered requests.

    :param histogram: encoded HDR histogram, in steps of 0.1 ms.
    """

    service: str
    kind: str
    histogram: bytes


class AccountSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """All accounts of one life of an instance; figures only grow.

    :param open_tickets: requests without an outcome yet.
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
        """Return all accounts since the start of the instance."""
