"""Targets as the lists name them."""

import enum

import msgspec

from ..fleet.site import Address


class TargetState(enum.StrEnum):
    """What the list says of a target."""

    ready = 'ready'
    draining = 'draining'


class TargetEntry(msgspec.Struct, frozen=True):
    """One target of the list.

    :param name: identity of this start of the target.
    :param slots: requests that it runs at once.
    :param cold_s: how much longer it is cold, in seconds, when listed.
    :param born_ms: Unix time of its start in milliseconds; 0 if unknown.
    """

    name: str
    service: str
    address: Address
    domain: str
    slots: int
    state: TargetState
    cold_s: float = 0
    born_ms: int = 0
