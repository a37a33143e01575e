"""Stores idempotency keys, so that their requests run at most once.

A key begins with a ticket, which names the instance that keeps the key's
record (the key home), the incarnation of that instance and an epoch. Records
are kept in memory and dropped by epoch. A key of an earlier incarnation, or
of an epoch whose records were dropped, is refused, since its request may
have run.
"""

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
#: Number of epochs whose records are kept, including the current one.
RETAINED_EPOCHS = 3
MAX_RECORDS = 200_000
MAX_RECORD_BYTES = 64 * 1024 * 1024

#: Memory of a record's objects and table entries without its strings and its
#: answer; ``benchmarks/ownership_cost.py`` measures it.
RECORD_OVERHEAD_BYTES = 512


KeyDecision = NewRun | RunInProgress | RecordedAnswer | KeyRefusal


class KeyStore(RecordStore):
    """Records of the keys whose key home is this instance.

    A dispatched request has a record until its epoch is dropped, or until it
    is certain that no target ran it. So if a key has no record, but a ticket
    of this incarnation and of a retained epoch, its request has not run.

    :param membership: incarnations of this and other instances.
    :param clock: time source; epochs count from the start of the process.
    :param max_records: maximum number of records.
    :param max_bytes: maximum estimated memory of all records, in bytes.
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
        self._records_by_epoch: dict[int, dict[tuple[str, str], KeyRecord]] = {}
        self._bytes_by_epoch: dict[int, int] = {}

    @property
    def record_count(self) -> int:
        """Number of records."""
        return sum(len(records) for records in self._records_by_epoch.values())

    @property
    def size_bytes(self) -> int:
        """Estimated memory of all records, in bytes."""
        return sum(self._bytes_by_epoch.values())

    def current_epoch(self) -> int:
        """Return the current epoch of this instance."""
        return int((self._clock.now() - self._started_at) / EPOCH_S)

    def current_ticket(self) -> str:
        """Return the ticket for keys whose key home is this instance."""
        own = self._membership
        return f'{own.name}.{own.incarnation}.{self.current_epoch()}'

    def ticket_for(self, instance: str) -> str | None:
        """Return a ticket for keys of a key home, or None if unknown.

        :param instance: name of the key home.
        """
        if instance == self._membership.name:
            return self.current_ticket()
        identity = self._membership.incarnation_and_epoch(instance)
        if identity is None:
            return None
        return f'{instance}.{identity[0]}.{identity[1]}'

    def begin(
        self,
        caller: str,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
    ) -> KeyDecision:
        """Decide whether a request with a key may run.

        :param caller: name of the caller; callers have separate keys.
        :param key: a key whose key home is this instance.
        :param fingerprint: digest of the request.
        """
        self.expire()
        refusal = self._check_ticket(key)
        if refusal is not None:
            return refusal
        record = self._records_by_epoch.get(key.epoch, {}).get(
            (caller, key.text)
        )
        if record is None:
            return self._create_record(caller, key, fingerprint)
        if record.fingerprint != fingerprint:
            return key_refusal(
                Ran.not_run,
                Reason.bad_request,
                'The key was used with a different request.',
            )
        return (
            RunInProgress(record) if record.outcome is None else record.outcome
        )

    def expire(self) -> None:
        """Drop the records of epochs that are no longer retained."""
        oldest = self.current_epoch() - RETAINED_EPOCHS + 1
        expired = [epoch for epoch in self._records_by_epoch if epoch < oldest]
        for epoch in expired:
            self._records_by_epoch.pop(epoch)
            self._bytes_by_epoch.pop(epoch)

    def reserve(self, epoch: int, record: KeyRecord, size: int) -> bool:
        """Count the memory of an answer, if there is room for it.

        :param epoch: epoch of the key.
        :param record: the record that stores the answer.
        :param size: size of the answer in bytes.
        :returns: whether the answer may be stored.
        """
        if (
            epoch not in self._bytes_by_epoch
            or self.size_bytes + size > self._max_bytes
        ):
            return False
        self._bytes_by_epoch[epoch] += size
        record.size_bytes += size
        return True

    def remove(self, caller: str, key: IdempotencyKey) -> None:
        """Drop the record of a request that was not run.

        :param caller: name of the caller.
        :param key: the key.
        """
        records = self._records_by_epoch.get(key.epoch)
        record = records.pop((caller, key.text), None) if records else None
        if record is not None:
            self._bytes_by_epoch[key.epoch] -= record.size_bytes

    def _check_ticket(self, key: IdempotencyKey) -> KeyRefusal | None:
        membership = self._membership
        if (
            key.instance != membership.name
            or key.incarnation != membership.incarnation
        ):
            return key_refusal(
                Ran.unknown,
                Reason.key_expired,
                'The records of this key were lost in a restart.',
            )
        current = self.current_epoch()
        if key.epoch <= current - RETAINED_EPOCHS:
            return key_refusal(
                Ran.unknown,
                Reason.key_expired,
                'The key has expired; its record was dropped.',
            )
        if key.epoch > current:
            return key_refusal(
                Ran.not_run,
                Reason.bad_request,
                'The ticket has an epoch that has not begun.',
            )
        return None

    def _next_expiry_ms(self) -> int:
        epochs = [
            epoch
            for epoch, records in self._records_by_epoch.items()
            if records
        ]
        oldest = min(epochs, default=self.current_epoch())
        expires_at = self._started_at + (oldest + RETAINED_EPOCHS) * EPOCH_S
        return max(1, int((expires_at - self._clock.now()) * 1000))

    def _create_record(
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
                'The store of idempotency keys is full.',
                retry_after_ms=self._next_expiry_ms(),
            )
        record = KeyRecord(fingerprint, size)
        records = self._records_by_epoch.setdefault(key.epoch, {})
        records[(caller, key.text)] = record
        self._bytes_by_epoch[key.epoch] = (
            self._bytes_by_epoch.get(key.epoch, 0) + size
        )
        return NewRun(self, caller, key, record)
