"""Idempotency keys: a request that may not be repeated runs at most once."""

from .clock import Clock
from .key_records import (
    Fingerprint,
    IdempotencyKey,
    KeyRecord,
    KeyRefusal,
    NewRun,
    RecordedAnswer,
    RecordStore,
    RunInProgress,
    key_refusal,
)
from .membership import Membership
from .types import Ran, Reason

EPOCH_S = 600.0
EPOCHS_KEPT = 3
MAX_RECORDS = 200_000
MAX_RECORD_BYTES = 64 * 1024 * 1024

#: Objects and table entries of one record besides its texts and its
#: answer; benchmarks/ownership_cost.py measures it.
RECORD_OVERHEAD_BYTES = 512


KeyDecision = NewRun | RunInProgress | RecordedAnswer | KeyRefusal


class KeyStore(RecordStore):
    """Records of the keys whose home is this instance.

    A key without a record whose ticket is of this incarnation and of an
    epoch that is still kept was certainly never dispatched.

    :param membership: incarnations of this and other instances.
    :param clock: time source; epochs count from the start of the process.
    :param max_records: bound on the number of records.
    :param max_bytes: bound on the estimated memory of all records.
    """

    def __init__(
        self,
        membership: Membership,
        clock: Clock,
        max_records: int = MAX_RECORDS,
        max_bytes: int = MAX_RECORD_BYTES,
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._max_records = max_records
        self._max_bytes = max_bytes
        self._started_at = clock.now()
        self._epochs: dict[int, dict[tuple[str, str], KeyRecord]] = {}
        self._bytes: dict[int, int] = {}

    @property
    def record_count(self) -> int:
        """Number of records."""
        return sum(len(records) for records in self._epochs.values())

    @property
    def size_bytes(self) -> int:
        """Estimated memory of all records, in bytes."""
        return sum(self._bytes.values())

    def current_epoch(self) -> int:
        """Return the current epoch of this instance."""
        return int((self._clock.now() - self._started_at) / EPOCH_S)

    def current_ticket(self) -> str:
        """Return the ticket for keys whose home is this instance."""
        own = self._membership
        return f'{own.name}.{own.incarnation}.{self.current_epoch()}'

    def ticket_for(self, instance: str) -> str | None:
        """Return a ticket for keys of another home, if one is known.

        :param instance: name of the home.
        """
        if instance == self._membership.name:
            return self.current_ticket()
        known = self._membership.incarnation_and_epoch(instance)
        if known is None:
            return None
        return f'{instance}.{known[0]}.{known[1]}'

    def begin(
        self,
        caller: str,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
    ) -> KeyDecision:
        """Decide on a request with a key whose home is this instance.

        :param caller: who sent it; part of the identity of the key.
        :param key: the key.
        :param fingerprint: what the request is.
        """
        self.expire()
        refusal = self._check_ticket(key)
        if refusal is not None:
            return refusal
        record = self._epochs.get(key.epoch, {}).get((caller, key.text))
        if record is None:
            return self._new(caller, key, fingerprint)
        if record.fingerprint != fingerprint:
            return key_refusal(
                Ran.not_run,
                Reason.bad_request,
                'The key was used for another request.',
            )
        return (
            RunInProgress(record) if record.outcome is None else record.outcome
        )

    def expire(self) -> None:
        """Drop the records of epochs that are not kept any more."""
        oldest = self.current_epoch() - EPOCHS_KEPT + 1
        expired = [epoch for epoch in self._epochs if epoch < oldest]
        for epoch in expired:
            self._epochs.pop(epoch)
            self._bytes.pop(epoch)

    def reserve(self, epoch: int, record: KeyRecord, size: int) -> bool:
        """Count the memory of an answer; called by the run.

        :param epoch: epoch of the key.
        :param record: the record that keeps the answer.
        :param size: bytes of the answer.
        :returns: whether the answer may be kept.
        """
        if epoch not in self._bytes or self.size_bytes + size > self._max_bytes:
            return False
        self._bytes[epoch] += size
        record.size += size
        return True

    def forget(self, caller: str, key: IdempotencyKey) -> None:
        """Drop the record of a request that was not run.

        :param caller: who sent it.
        :param key: the key.
        """
        records = self._epochs.get(key.epoch)
        record = records.pop((caller, key.text), None) if records else None
        if record is not None:
            self._bytes[key.epoch] -= record.size

    def _check_ticket(self, key: IdempotencyKey) -> KeyRefusal | None:
        own = self._membership
        if key.instance != own.name or key.incarnation != own.incarnation:
            return key_refusal(
                Ran.unknown,
                Reason.key_expired,
                'The records of this key are lost.',
            )
        current = self.current_epoch()
        if key.epoch <= current - EPOCHS_KEPT:
            return key_refusal(
                Ran.unknown,
                Reason.key_expired,
                'The key is too old; its records are dropped.',
            )
        if key.epoch > current:
            return key_refusal(
                Ran.not_run,
                Reason.bad_request,
                'The ticket was never issued.',
            )
        return None

    def _next_expiry_ms(self) -> int:
        epochs = [epoch for epoch, records in self._epochs.items() if records]
        oldest = min(epochs, default=self.current_epoch())
        expires_at = self._started_at + (oldest + EPOCHS_KEPT) * EPOCH_S
        return max(1, int((expires_at - self._clock.now()) * 1000))

    def _new(
        self,
        caller: str,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
    ) -> NewRun | KeyRefusal:
        size = RECORD_OVERHEAD_BYTES + len(caller) + len(key.text)
        if (
            self.record_count >= self._max_records
            or self.size_bytes + size > self._max_bytes
        ):
            return key_refusal(
                Ran.not_run,
                Reason.key_records_full,
                'No memory is left for records of keys.',
                retry_after_ms=self._next_expiry_ms(),
            )
        record = KeyRecord(fingerprint, size)
        records = self._epochs.setdefault(key.epoch, {})
        records[(caller, key.text)] = record
        self._bytes[key.epoch] = self._bytes.get(key.epoch, 0) + size
        return NewRun(self, caller, key, record)
