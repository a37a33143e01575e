"""Targets as the lists name them."""

import enum

import msgspec

from ..fleet.instance_config import Address


class TargetState(enum.StrEnum):
    """What the list says of a target."""

    ready = 'ready'
    draining = 'draining'


class TargetEntry(msgspec.Struct, frozen=True):
    """One target of the list.

    :param name: identity of this start of the target.
    :param slots: requests that it runs at once.
    :param warmup_left_s: how much longer it is cold, in seconds, when listed.
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
