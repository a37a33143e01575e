"""Idempotency keys: a request that may not be repeated runs at most once."""

import asyncio
import hashlib

import msgspec

from .clock import Clock
from .forwarding import Headers
from .membership import Membership
from .problems import Refusal
from .types import Ran, Reason

EPOCH_S = 600.0
EPOCHS_KEPT = 3
MAX_RECORDS = 200_000
MAX_RECORD_BYTES = 64 * 1024 * 1024
MAX_KEPT_BODY_BYTES = 64 * 1024
MAX_KEY_CHARS = 200

#: Objects and table entries of one record besides its texts and its
#: answer; benchmarks/ownership_cost.py measures it.
RECORD_OVERHEAD_BYTES = 512

_TICKET_PARTS = 3
_DIGEST_BYTES = 16


class Key(msgspec.Struct, frozen=True):
    """An idempotency key: the ticket's parts and the caller's own text."""

    instance: str
    incarnation: str
    epoch: int
    text: str


class Fingerprint(msgspec.Struct, frozen=True):
    """Tells requests with the same key apart."""

    digest: bytes

    @classmethod
    def from_request(
        cls,
        method: str,
        path: str,
        length: int | None = None,
        body_digest: str = '',
    ) -> 'Fingerprint':
        """Build the fingerprint of a request.

        :param method: HTTP method.
        :param path: path with its query.
        :param length: length of the body in bytes, if announced.
        :param body_digest: digest of the body, if the caller gave one.
        """
        text = f'{method}\n{path}\n{length}\n{body_digest}'
        return cls(
            hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest(),
        )


class FirstAnswer(msgspec.Struct, frozen=True):
    """The answer that the first request with the key got."""

    status: int
    headers: Headers
    body: bytes


class KeyRefusal(msgspec.Struct, frozen=True):
    """The key does not allow a dispatch."""

    refusal: Refusal


#: How the one run of a key ended, as resends see it.
KeyOutcome = FirstAnswer | KeyRefusal


class _Record:
    """The state of one key; without an outcome the request runs."""

    __slots__ = ('fingerprint', 'outcome', 'size', 'waiting')

    def __init__(self, fingerprint: Fingerprint, size: int) -> None:
        self.fingerprint = fingerprint
        self.size = size
        self.outcome: KeyOutcome | None = None
        self.waiting: list[asyncio.Future[KeyOutcome]] | None = None

    def end(self, outcome: KeyOutcome) -> None:
        self.outcome = outcome
        for fut in self.waiting or ():
            if not fut.done():
                fut.set_result(outcome)
        self.waiting = None


class NewRun:
    """The right to dispatch a request once; it must be ended.

    :param store: the store that holds the record.
    :param caller: who sent the request.
    :param key: key of the request.
    :param record: the record.
    """

    def __init__(
        self,
        store: 'KeyStore',
        caller: str,
        key: Key,
        record: _Record,
    ) -> None:
        self._store = store
        self._caller = caller
        self._key = key
        self._record = record

    def complete(
        self,
        status: int,
        headers: Headers,
        body: bytes | None,
    ) -> None:
        """Keep the whole answer for resends.

        :param status: HTTP status.
        :param headers: HTTP headers.
        :param body: the body; None if it is longer than is kept.
        """
        if self._record.outcome is not None:
            return
        size = len(body or b'') + sum(len(nm) + len(vl) for nm, vl in headers)
        kept = body is not None and len(body) <= MAX_KEPT_BODY_BYTES
        if kept and self._store.reserve(self._key.epoch, self._record, size):
            self._record.end(FirstAnswer(status, headers, body or b''))
            return
        self._record.end(
            _refusal(
                Ran.unknown,
                Reason.answer_not_kept,
                f'The request ran with status {status}; '
                'its answer is too large to be kept.',
            ),
        )

    def abandon_not_run(self, refusal: Refusal) -> None:
        """Forget the run: the request was certainly not run.

        :param refusal: what those who joined the run get.
        """
        if self._record.outcome is None:
            self._store.forget(self._caller, self._key)
            self._record.end(KeyRefusal(refusal))

    def finish_unknown(self, reason: Reason) -> None:
        """End a run whose effect is not known; it is never repeated.

        :param reason: what happened.
        """
        if self._record.outcome is None:
            self._record.end(
                _refusal(
                    Ran.unknown,
                    reason,
                    'The outcome of the first request is not known.',
                ),
            )


class JoinRun:
    """The request with this key runs now.

    :param record: the record.
    """

    def __init__(self, record: _Record) -> None:
        self._record = record

    async def wait(self) -> KeyOutcome:
        """Wait for the outcome of the first request."""
        if self._record.outcome is not None:
            return self._record.outcome
        fut = asyncio.get_running_loop().create_future()
        if self._record.waiting is None:
            self._record.waiting = []
        self._record.waiting.append(fut)
        try:
            return await fut
        finally:
            if self._record.waiting is not None:
                self._record.waiting.remove(fut)


KeyDecision = NewRun | JoinRun | FirstAnswer | KeyRefusal


def parse_key(text: str) -> Key | None:
    """Return the parts of a key, or None if it is malformed.

    :param text: content of the header, from the network.
    """
    parts = text.split('.', _TICKET_PARTS)
    if len(parts) <= _TICKET_PARTS or len(text) > MAX_KEY_CHARS:
        return None
    instance, incarnation, epoch, own = parts
    if not (epoch.isascii() and epoch.isdigit()):
        return None
    if not (instance and incarnation and own):
        return None
    return Key(instance, incarnation, int(epoch), own)


class KeyStore:
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
        self._epochs: dict[int, dict[tuple[str, str], _Record]] = {}
        self._bytes: dict[int, int] = {}

    @property
    def count(self) -> int:
        """Number of records."""
        return sum(len(records) for records in self._epochs.values())

    @property
    def size(self) -> int:
        """Estimated memory of all records, in bytes."""
        return sum(self._bytes.values())

    def epoch(self) -> int:
        """Return the current epoch of this instance."""
        return int((self._clock.now() - self._started_at) / EPOCH_S)

    def current_ticket(self) -> str:
        """Return the ticket for keys whose home is this instance."""
        own = self._membership
        return f'{own.name}.{own.incarnation}.{self.epoch()}'

    def ticket_for(self, instance: str) -> str | None:
        """Return a ticket for keys of another home, if one is known.

        :param instance: name of the home.
        """
        if instance == self._membership.name:
            return self.current_ticket()
        known = self._membership.incarnation_of(instance)
        if known is None:
            return None
        return f'{instance}.{known[0]}.{known[1]}'

    def begin(
        self,
        caller: str,
        key: Key,
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
            return _refusal(
                Ran.not_run,
                Reason.bad_request,
                'The key was used for another request.',
            )
        return JoinRun(record) if record.outcome is None else record.outcome

    def expire(self) -> None:
        """Drop the records of epochs that are not kept any more."""
        oldest = self.epoch() - EPOCHS_KEPT + 1
        for epoch in [known for known in self._epochs if known < oldest]:
            self._epochs.pop(epoch)
            self._bytes.pop(epoch)

    def reserve(self, epoch: int, record: _Record, size: int) -> bool:
        """Count the memory of an answer; called by the run.

        :param epoch: epoch of the key.
        :param record: the record that keeps the answer.
        :param size: bytes of the answer.
        :returns: whether the answer may be kept.
        """
        if epoch not in self._bytes or self.size + size > self._max_bytes:
            return False
        self._bytes[epoch] += size
        record.size += size
        return True

    def forget(self, caller: str, key: Key) -> None:
        """Drop the record of a request that was not run.

        :param caller: who sent it.
        :param key: the key.
        """
        records = self._epochs.get(key.epoch)
        record = records.pop((caller, key.text), None) if records else None
        if record is not None:
            self._bytes[key.epoch] -= record.size

    def _check_ticket(self, key: Key) -> KeyRefusal | None:
        own = self._membership
        if key.instance != own.name or key.incarnation != own.incarnation:
            return _refusal(
                Ran.unknown,
                Reason.key_expired,
                'The records of this key are lost.',
            )
        current = self.epoch()
        if key.epoch <= current - EPOCHS_KEPT:
            return _refusal(
                Ran.unknown,
                Reason.key_expired,
                'The key is too old; its records are dropped.',
            )
        if key.epoch > current:
            return _refusal(
                Ran.not_run,
                Reason.bad_request,
                'The ticket was never issued.',
            )
        return None

    def _next_expiry_ms(self) -> int:
        epochs = [epoch for epoch, records in self._epochs.items() if records]
        oldest = min(epochs, default=self.epoch())
        expires_at = self._started_at + (oldest + EPOCHS_KEPT) * EPOCH_S
        return max(1, int((expires_at - self._clock.now()) * 1000))

    def _new(
        self,
        caller: str,
        key: Key,
        fingerprint: Fingerprint,
    ) -> NewRun | KeyRefusal:
        size = RECORD_OVERHEAD_BYTES + len(caller) + len(key.text)
        if (
            self.count >= self._max_records
            or self.size + size > self._max_bytes
        ):
            return _refusal(
                Ran.not_run,
                Reason.key_records_full,
                'No memory is left for records of keys.',
                retry_after_ms=self._next_expiry_ms(),
            )
        record = _Record(fingerprint, size)
        records = self._epochs.setdefault(key.epoch, {})
        records[(caller, key.text)] = record
        self._bytes[key.epoch] = self._bytes.get(key.epoch, 0) + size
        return NewRun(self, caller, key, record)


def _refusal(
    ran: Ran,
    reason: Reason,
    detail: str,
    retry_after_ms: int = 0,
) -> KeyRefusal:
    return KeyRefusal(
        Refusal(
            ran=ran,
            reason=reason,
            detail=detail,
            retry_after_ms=retry_after_ms,
        ),
    )
