"""Computes differences between configurations and keeps a bounded history.

A parent sends the deltas that a child has missed instead of the complete
configuration, and the child checks the result against a digest. A child that
is further behind than the history, or for which the deltas would be as long
as a snapshot, receives a snapshot.
"""

import collections
import enum
import hashlib
import itertools
from collections.abc import Iterable
from typing import Generic, Self, TypeVar

import msgspec

from .config_in_force import ConfigInForce
from .config_model import (
    Allowance,
    Allowances,
    Caller,
    Configuration,
    Drain,
    Plan,
    Plans,
    ShiftCap,
)

#: Deltas kept for children that are behind.
HISTORY_DELTAS = 256
DIGEST_BYTES = 32

_Item = TypeVar('_Item')


class InsertedItem(
    msgspec.Struct, Generic[_Item], frozen=True, array_like=True
):
    """A new or changed item and its index in the new list."""

    index: int
    item: _Item


class ItemsDelta(msgspec.Struct, Generic[_Item], frozen=True, array_like=True):
    """Difference between two versions of one list.

    :param removed: indices of the removed items in the old list.
    :param inserted: new and changed items, ordered by index in the new list.
    :param replacement: the complete new list, set where it is shorter than
        the changes or where items changed their order.
    """

    removed: tuple[int, ...]
    inserted: tuple[InsertedItem[_Item], ...]
    replacement: tuple[_Item, ...] | None = None


class ConfigDelta(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Difference between two configurations; unchanged lists are None."""

    base: int
    version: int
    plans_version: int
    allowances_version: int
    plans: ItemsDelta[Plan] | None
    callers: ItemsDelta[Caller] | None
    allowances: ItemsDelta[Allowance] | None
    shift_caps: ItemsDelta[ShiftCap] | None
    drains: ItemsDelta[Drain] | None


class EncodedConfig(msgspec.Struct, frozen=True):
    """A configuration with its canonical encoding.

    :param payload: canonical msgpack of the configuration.
    :param digest: BLAKE2b of the payload.
    """

    config: Configuration
    payload: bytes
    digest: bytes

    @classmethod
    def from_config(cls, config: Configuration) -> Self:
        """Encode a configuration that was decoded from msgpack.

        :param config: the configuration.
        """
        payload = _encoder.encode(config)
        return cls(config, payload, digest_of(payload))

    @classmethod
    def canonical(cls, config: Configuration) -> Self:
        """Encode a configuration that may not come from msgpack.

        An integer in a float field is encoded as an integer until it has been
        decoded once as a float, which would change the digest.

        :param config: the configuration.
        """
        # Callers have only text fields, which decoding leaves unchanged, and
        # decoding a long list of them is expensive.
        callers = config.plans.callers
        without_callers = msgspec.structs.replace(
            config,
            plans=Plans(plans=config.plans.plans),
        )
        decoded = _config_decoder.decode(_encoder.encode(without_callers))
        plans = Plans(plans=decoded.plans.plans, callers=callers)
        return cls.from_config(
            msgspec.structs.replace(decoded, plans=plans),
        )


class ApplyResult(enum.StrEnum):
    """Result of applying a delivered configuration."""

    applied = 'taken'
    not_newer = 'not-newer'
    #: The deltas do not start at the version in force.
    base_mismatch = 'no-base'
    #: The digest of the result differs from the one that was sent.
    corrupt = 'corrupt'


_encoder = msgspec.msgpack.Encoder()
_config_decoder = msgspec.msgpack.Decoder(Configuration)
_delta_decoder = msgspec.msgpack.Decoder(ConfigDelta)


def digest_of(payload: bytes) -> bytes:
    """Return the digest of a canonical configuration.

    :param payload: its msgpack.
    """
    return hashlib.blake2b(payload, digest_size=DIGEST_BYTES).digest()


def diff_items(
    old: tuple[_Item, ...],
    new: tuple[_Item, ...],
) -> ItemsDelta[_Item] | None:
    """Return the difference between two lists, None if they are equal.

    :param old: the list that the receiver has.
    :param new: the list that it should have.
    """
    if old == new:
        return None
    # Most changes affect one item of a long list, and comparing items is
    # several times cheaper than hashing them. So the common start and end
    # are skipped, and only the items between them are hashed.
    prefix_length = _common_prefix_length(zip(old, new, strict=False))
    max_suffix_length = min(len(old), len(new)) - prefix_length
    pairs = zip(reversed(old), reversed(new), strict=False)
    suffix_length = _common_prefix_length(
        itertools.islice(pairs, max_suffix_length)
    )
    old_middle, new_middle = (
        old[prefix_length : len(old) - suffix_length],
        new[prefix_length : len(new) - suffix_length],
    )
    old_items, new_items = set(old_middle), set(new_middle)
    delta = ItemsDelta(
        tuple(
            index
            for index, item in enumerate(old_middle, prefix_length)
            if item not in new_items
        ),
        tuple(
            InsertedItem(index, item)
            for index, item in enumerate(new_middle, prefix_length)
            if item not in old_items
        ),
    )
    change_count = len(delta.removed) + len(delta.inserted)
    if change_count > len(new) or apply_items(old, delta) != new:
        return ItemsDelta((), (), new)
    return delta


def apply_items(
    old: tuple[_Item, ...],
    delta: ItemsDelta[_Item] | None,
) -> tuple[_Item, ...]:
    """Return the list after a difference.

    An inconsistent difference gives a wrong list instead of an exception; the
    caller detects it by the digest.

    :param old: the list before the difference.
    :param delta: the difference.
    """
    if delta is None:
        return old
    if delta.replacement is not None:
        return delta.replacement
    kept: list[_Item] = []
    next_index = 0
    for index in sorted(delta.removed):
        kept.extend(old[next_index:index])
        next_index = max(next_index, index + 1)
    kept.extend(old[next_index:])
    merged: list[_Item] = []
    kept_index = 0
    for inserted in delta.inserted:
        gap = max(inserted.index - len(merged), 0)
        merged.extend(kept[kept_index : kept_index + gap])
        kept_index += gap
        merged.append(inserted.item)
    merged.extend(kept[kept_index:])
    return tuple(merged)


def diff(old: Configuration, new: Configuration) -> ConfigDelta:
    """Return the delta between two configurations.

    :param old: the configuration that the receiver has.
    :param new: the configuration that it should have.
    """
    return ConfigDelta(
        base=old.version,
        version=new.version,
        plans_version=new.plans_version,
        allowances_version=new.allowances_version,
        plans=diff_items(old.plans.plans, new.plans.plans),
        callers=diff_items(old.plans.callers, new.plans.callers),
        allowances=diff_items(
            old.allowances.allowances, new.allowances.allowances
        ),
        shift_caps=diff_items(
            old.allowances.shift_caps, new.allowances.shift_caps
        ),
        drains=diff_items(old.drains, new.drains),
    )


def apply_delta(old: Configuration, delta: ConfigDelta) -> Configuration:
    """Return the configuration after a delta.

    :param old: the configuration at the base version of the delta.
    :param delta: the delta.
    """
    return Configuration(
        version=delta.version,
        plans_version=delta.plans_version,
        allowances_version=delta.allowances_version,
        plans=Plans(
            plans=apply_items(old.plans.plans, delta.plans),
            callers=apply_items(old.plans.callers, delta.callers),
        ),
        allowances=Allowances(
            allowances=apply_items(old.allowances.allowances, delta.allowances),
            shift_caps=apply_items(old.allowances.shift_caps, delta.shift_caps),
        ),
        drains=apply_items(old.drains, delta.drains),
    )


def _common_prefix_length(pairs: Iterable[tuple[object, object]]) -> int:
    count = 0
    for left, right in pairs:
        if left != right:
            break
        count += 1
    return count


class _StoredDelta(msgspec.Struct, frozen=True):
    """A delta of the history as msgpack, with its versions."""

    base: int
    version: int
    payload: bytes


class ConfigStore:
    """The configuration in force with the latest deltas that led to it.

    :param in_force: configuration of this instance.
    :param limit: number of deltas kept for children that are behind.
    """

    def __init__(
        self,
        in_force: ConfigInForce,
        limit: int = HISTORY_DELTAS,
    ) -> None:
        self.in_force = in_force
        self._history: collections.deque[_StoredDelta] = collections.deque(
            maxlen=limit,
        )
        self._encoded: EncodedConfig | None = None

    @property
    def encoded(self) -> EncodedConfig | None:
        """The encoded configuration in force, None before the first one."""
        return self._encoded

    def apply_committed(self, config: Configuration) -> ApplyResult:
        """Apply a configuration that the own control log committed.

        :param config: the configuration.
        """
        if config.version <= self.in_force.version:
            return ApplyResult.not_newer
        return self._advance(EncodedConfig.canonical(config))

    def deltas_since(self, version: int) -> tuple[bytes, ...] | None:
        """Return the encoded deltas since a version.

        Returns None where a snapshot must be sent: the version is not in the
        history, or the deltas are not shorter than a snapshot.

        :param version: version in force at the child.
        """
        payloads: tuple[bytes, ...] = ()
        bases = [stored.base for stored in self._history]
        if version not in bases or self._encoded is None:
            return None
        start = bases.index(version)
        payloads = tuple(stored.payload for stored in self._history)[start:]
        if sum(map(len, payloads)) >= len(self._encoded.payload):
            return None
        return payloads

    def apply_snapshot(self, payload: bytes, digest: bytes) -> ApplyResult:
        """Apply a received snapshot.

        :param payload: canonical msgpack of the configuration.
        :param digest: expected digest of the payload.
        """
        if digest_of(payload) != digest:
            return ApplyResult.corrupt
        try:
            config = _config_decoder.decode(payload)
        except msgspec.DecodeError:
            return ApplyResult.corrupt
        if config.version <= self.in_force.version:
            return ApplyResult.not_newer
        return self._advance(EncodedConfig(config, payload, digest))

    def apply_deltas(
        self,
        payloads: tuple[bytes, ...],
        digest: bytes,
    ) -> ApplyResult:
        """Apply received deltas.

        :param payloads: encoded deltas; the first is based on the version in
            force.
        :param digest: expected digest of the resulting configuration.
        """
        config = self.in_force.current
        if config is None:
            return ApplyResult.base_mismatch
        stored: list[_StoredDelta] = []
        for payload in payloads:
            try:
                delta = _delta_decoder.decode(payload)
            except msgspec.DecodeError:
                return ApplyResult.corrupt
            if delta.base != config.version or delta.version <= delta.base:
                return ApplyResult.base_mismatch
            config = apply_delta(config, delta)
            stored.append(_StoredDelta(delta.base, delta.version, payload))
        encoded = EncodedConfig.from_config(config)
        if encoded.digest != digest:
            return ApplyResult.corrupt
        return self._advance(encoded, stored)

    def _advance(
        self,
        encoded: EncodedConfig,
        deltas: list[_StoredDelta] | None = None,
    ) -> ApplyResult:
        old = None if self._encoded is None else self._encoded.config
        if deltas is None and old is not None:
            delta = diff(old, encoded.config)
            payload = _encoder.encode(delta)
            deltas = [_StoredDelta(delta.base, delta.version, payload)]
        self._history.extend(deltas or ())
        self._encoded = encoded
        self.in_force.replace_if_newer(encoded.config)
        return ApplyResult.applied
