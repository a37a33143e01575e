"""Differences between configurations, and their bounded history."""

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

HISTORY_STEPS = 256
DIGEST_BYTES = 32

_Item = TypeVar('_Item')


class InsertedItem(
    msgspec.Struct, Generic[_Item], frozen=True, array_like=True
):
    """An item that is new or changed, and its place in the new list."""

    index: int
    item: _Item


class ItemsDelta(msgspec.Struct, Generic[_Item], frozen=True, array_like=True):
    """Difference between two versions of one list.

    :param removed: places of the items that go, in the old list.
    :param put: items that come, by ascending place in the new list.
    :param whole: the new list, where that is shorter or the order changed.
    """

    removed: tuple[int, ...]
    put: tuple[InsertedItem[_Item], ...]
    whole: tuple[_Item, ...] | None = None


class ConfigDelta(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Difference between two configurations; None for an equal list."""

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
    """A configuration in canonical form.

    :param payload: its canonical msgpack.
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
        """Encode a configuration of any origin.

        A whole number in a float field is encoded as an integer until it
        has been decoded once, and would have another digest.

        :param config: the configuration.
        """
        # Callers have text only; decoding a long list of them is expensive.
        callers = config.plans.callers
        bare = msgspec.structs.replace(
            config,
            plans=Plans(plans=config.plans.plans),
        )
        normal = _configs.decode(_encoder.encode(bare))
        plans = Plans(plans=normal.plans.plans, callers=callers)
        return cls.from_config(
            msgspec.structs.replace(normal, plans=plans),
        )


class ApplyResult(enum.StrEnum):
    """What became of a delivered configuration."""

    applied = 'taken'
    not_newer = 'not-newer'
    #: The steps do not start at the version in force.
    base_mismatch = 'no-base'
    #: The result is not the configuration that was sent.
    corrupt = 'corrupt'


_encoder = msgspec.msgpack.Encoder()
_configs = msgspec.msgpack.Decoder(Configuration)
_steps = msgspec.msgpack.Decoder(ConfigDelta)


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
    # Comparing is several times cheaper than hashing, and most changes are
    # to one item of a long list.
    start = _common(zip(old, new, strict=False))
    tail = min(len(old), len(new)) - start
    pairs = zip(reversed(old), reversed(new), strict=False)
    end = _common(itertools.islice(pairs, tail))
    olds, news = old[start : len(old) - end], new[start : len(new) - end]
    before, after = set(olds), set(news)
    delta = ItemsDelta(
        tuple(at for at, item in enumerate(olds, start) if item not in after),
        tuple(
            InsertedItem(at, item)
            for at, item in enumerate(news, start)
            if item not in before
        ),
    )
    changed = len(delta.removed) + len(delta.put)
    if changed > len(new) or apply_items(old, delta) != new:
        return ItemsDelta((), (), new)
    return delta


def apply_items(
    old: tuple[_Item, ...],
    delta: ItemsDelta[_Item] | None,
) -> tuple[_Item, ...]:
    """Return the list after a difference; never fails on a wrong one.

    :param old: the list before.
    :param delta: the difference.
    """
    if delta is None:
        return old
    if delta.whole is not None:
        return delta.whole
    kept: list[_Item] = []
    start = 0
    for at in sorted(delta.removed):
        kept.extend(old[start:at])
        start = max(start, at + 1)
    kept.extend(old[start:])
    out: list[_Item] = []
    cursor = 0
    for put in delta.put:
        need = max(put.index - len(out), 0)
        out.extend(kept[cursor : cursor + need])
        cursor += need
        out.append(put.item)
    out.extend(kept[cursor:])
    return tuple(out)


def diff(old: Configuration, new: Configuration) -> ConfigDelta:
    """Return the step from one configuration to another.

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


def apply_step(old: Configuration, step: ConfigDelta) -> Configuration:
    """Return the configuration after a step.

    :param old: the configuration before, at the base of the step.
    :param step: the step.
    """
    return Configuration(
        version=step.version,
        plans_version=step.plans_version,
        allowances_version=step.allowances_version,
        plans=Plans(
            plans=apply_items(old.plans.plans, step.plans),
            callers=apply_items(old.plans.callers, step.callers),
        ),
        allowances=Allowances(
            allowances=apply_items(old.allowances.allowances, step.allowances),
            shift_caps=apply_items(old.allowances.shift_caps, step.shift_caps),
        ),
        drains=apply_items(old.drains, step.drains),
    )


def _common(pairs: Iterable[tuple[object, object]]) -> int:
    count = 0
    for one, other in pairs:
        if one != other:
            break
        count += 1
    return count


class _Stored(msgspec.Struct, frozen=True):
    """A step of the history and its msgpack."""

    base: int
    version: int
    payload: bytes


class ConfigStore:
    """The configuration in force with the steps that led to it.

    :param in_force: configuration of this instance.
    :param limit: how many steps are kept for children that lag.
    """

    def __init__(
        self,
        in_force: ConfigInForce,
        limit: int = HISTORY_STEPS,
    ) -> None:
        self.in_force = in_force
        self._history: collections.deque[_Stored] = collections.deque(
            maxlen=limit,
        )
        self._encoded: EncodedConfig | None = None

    @property
    def encoded(self) -> EncodedConfig | None:
        """The configuration in force as it is sent, if there is one."""
        return self._encoded

    def apply_committed(self, config: Configuration) -> ApplyResult:
        """Put a committed configuration of the own log in force.

        :param config: the configuration.
        """
        if config.version <= self.in_force.version:
            return ApplyResult.not_newer
        return self._advance(EncodedConfig.canonical(config))

    def deltas_since(self, version: int) -> tuple[bytes, ...] | None:
        """Return the steps from a version on, None where a snapshot is due.

        :param version: version that the child has.
        """
        found: tuple[bytes, ...] = ()
        bases = [stored.base for stored in self._history]
        if version not in bases or self._encoded is None:
            return None
        start = bases.index(version)
        found = tuple(stored.payload for stored in self._history)[start:]
        if sum(map(len, found)) >= len(self._encoded.payload):
            return None
        return found

    def apply_snapshot(self, payload: bytes, digest: bytes) -> ApplyResult:
        """Put a received snapshot in force.

        :param payload: canonical msgpack of the configuration.
        :param digest: digest that it must have.
        """
        if digest_of(payload) != digest:
            return ApplyResult.corrupt
        try:
            config = _configs.decode(payload)
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
        """Put the result of received steps in force.

        :param payloads: the steps, the first one from the version in force.
        :param digest: digest that the result must have.
        """
        config = self.in_force.current
        if config is None:
            return ApplyResult.base_mismatch
        stored: list[_Stored] = []
        for payload in payloads:
            try:
                step = _steps.decode(payload)
            except msgspec.DecodeError:
                return ApplyResult.corrupt
            if step.base != config.version or step.version <= step.base:
                return ApplyResult.base_mismatch
            config = apply_step(config, step)
            stored.append(_Stored(step.base, step.version, payload))
        encoded = EncodedConfig.from_config(config)
        if encoded.digest != digest:
            return ApplyResult.corrupt
        return self._advance(encoded, stored)

    def _advance(
        self,
        encoded: EncodedConfig,
        steps: list[_Stored] | None = None,
    ) -> ApplyResult:
        before = None if self._encoded is None else self._encoded.config
        if steps is None and before is not None:
            step = diff(before, encoded.config)
            payload = _encoder.encode(step)
            steps = [_Stored(step.base, step.version, payload)]
        self._history.extend(steps or ())
        self._encoded = encoded
        self.in_force.replace_if_newer(encoded.config)
        return ApplyResult.applied
