"""Entries of the target list."""

import enum

import msgspec

from ..fleet.instance_config import MAX_PORT, Address

#: Most slots of one target.
MAX_SLOTS = 100_000
#: Longest warm-up, in seconds.
MAX_WARMUP_S = 86_400
#: Latest start, in Unix milliseconds; decoders of any kind read it exactly.
MAX_STARTED_AT_MS = 2**53
#: Longest name of a target, service or failure domain, in characters.
MAX_NAME_CHARS = 256


class TargetState(enum.StrEnum):
    """State of a target in the target list."""

    ready = 'ready'
    draining = 'draining'


class TargetEntry(msgspec.Struct, frozen=True, array_like=True):
    """One target of the target list.

    The ranges are not checked by decoding: a message with an entry out of
    range, of an instance with an older version, stays readable.

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

    def fault(self) -> str:
        """Return what is out of range, or an empty text."""
        if not 0 < self.address.port <= MAX_PORT:
            return 'port out of range'
        if not 0 < self.slots <= MAX_SLOTS:
            return 'slots out of range'
        if not 0 <= self.warmup_left_s <= MAX_WARMUP_S:
            return 'warm-up out of range'
        if not 0 <= self.started_at_ms <= MAX_STARTED_AT_MS:
            return 'start out of range'
        names = (self.name, self.service, self.domain)
        if not all(0 < len(name) <= MAX_NAME_CHARS for name in names):
            return 'name is empty or too long'
        return ''
