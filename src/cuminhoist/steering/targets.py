"""Entries of the target list."""

import enum

import msgspec

from ..fleet.instance_config import Address


class TargetState(enum.StrEnum):
    """State of a target in the target list."""

    ready = 'ready'
    draining = 'draining'


class TargetEntry(msgspec.Struct, frozen=True, array_like=True):
    """One target of the target list.

    :param name: identity of this incarnation of the target.
    :param slots: number of requests that it runs concurrently.
    :param warmup_left_s: remaining warm-up time when the list was made, in
        seconds.
    :param started_at_ms: Unix time of its start in milliseconds; 0 if unknown.
    """

    name: str
    service: str
    address: Address
    domain: str
    slots: int
    state: TargetState
    warmup_left_s: float = msgspec.field(name='cold_s', default=0)
    started_at_ms: int = msgspec.field(name='born_ms', default=0)
