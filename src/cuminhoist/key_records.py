"""Idempotency keys, their records and the run that each key allows.

A key allows one run of its request. Resends with the key wait for that run
and get its recorded answer, or the refusal with which it ended.
"""

import abc
import asyncio
import hashlib

import msgspec

from .problems import Refusal
from .target_client import Headers
from .types import Ran, Reason

MAX_RECORDED_BODY_BYTES = 64 * 1024
MAX_KEY_CHARS = 200

_TICKET_FIELDS = 3
_DIGEST_BYTES = 16


class IdempotencyKey(msgspec.Struct, frozen=True):
    """An idempotency key: a ticket and the caller's own text.

    :param instance: name of the key home, the instance that keeps the record.
    :param incarnation: incarnation of the key home.
    :param epoch: epoch of the key home in which the ticket was issued.
    :param text: the part that the caller chose.
    """

    instance: str
    incarnation: str
    epoch: int
    text: str


class Fingerprint(msgspec.Struct, frozen=True):
    """Digest that tells different requests with one key apart."""

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
        :param length: declared length of the body in bytes, if any.
        :param body_digest: digest of the body, if the caller gave one.
        """
        text = f'{method}\n{path}\n{length}\n{body_digest}'
        return cls(
            hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest(),
        )


class RecordedAnswer(msgspec.Struct, frozen=True):
    """The answer to the run of a key, as stored for resends."""

    status: int
    headers: Headers
    body: bytes


class KeyRefusal(msgspec.Struct, frozen=True):
    """The refusal of a request because of its key."""

    refusal: Refusal


#: What resends get once the run of a key has ended.
KeyOutcome = RecordedAnswer | KeyRefusal


class KeyRecord:
    """State of one key; the request is running until an outcome is set.

    :param fingerprint: digest of the request.
    :param size: estimated memory of the record in bytes.
    """

    __slots__ = ('fingerprint', 'outcome', 'size_bytes', 'waiters')

    def __init__(self, fingerprint: Fingerprint, size: int) -> None:
        self.fingerprint = fingerprint
        self.size_bytes = size
        self.outcome: KeyOutcome | None = None
        self.waiters: list[asyncio.Future[KeyOutcome]] | None = None

    def finish(self, outcome: KeyOutcome) -> None:
        """Set the outcome and wake the requests that wait for it.

        :param outcome: what resends get.
        """
        self.outcome = outcome
        for fut in self.waiters or ():
            if not fut.done():
                fut.set_result(outcome)
        self.waiters = None


class RecordStore(abc.ABC):
    """The operations of a store that a run uses on its record."""

    @abc.abstractmethod
    def reserve(self, epoch: int, record: 'KeyRecord', size: int) -> bool:
        """Count the memory of an answer, if there is room for it.

        :param epoch: epoch of the key.
        :param record: the record that stores the answer.
        :param size: size of the answer in bytes.
        :returns: whether the answer may be stored.
        """

    @abc.abstractmethod
    def remove(self, caller: str, key: IdempotencyKey) -> None:
        """Drop the record of a request that was not run.

        :param caller: name of the caller.
        :param key: the key.
        """


class NewRun:
    """Permission to dispatch the request of a key once.

    The holder must finish it by one of its methods, or resends wait for ever.

    :param store: the store that holds the record.
    :param caller: name of the caller.
    :param key: key of the request.
    :param record: the record.
    """

    def __init__(
        self,
        store: RecordStore,
        caller: str,
        key: IdempotencyKey,
        record: KeyRecord,
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
        """Store the complete answer for resends.

        :param status: HTTP status.
        :param headers: HTTP headers.
        :param body: the body; None if it is too long to be stored.
        """
        if self._record.outcome is not None:
            return
        size = len(body or b'') + sum(
            len(name) + len(value) for name, value in headers
        )
        fits = body is not None and len(body) <= MAX_RECORDED_BODY_BYTES
        if fits and self._store.reserve(self._key.epoch, self._record, size):
            self._record.finish(RecordedAnswer(status, headers, body or b''))
            return
        self._record.finish(
            key_refusal(
                Ran.unknown,
                Reason.answer_not_kept,
                f'The request ran with status {status}; '
                'its answer is too large to be stored.',
            ),
        )

    def abandon_not_run(self, refusal: Refusal) -> None:
        """Remove the record of a request that was certainly not run.

        :param refusal: the refusal for resends that wait for the run.
        """
        if self._record.outcome is None:
            self._store.remove(self._caller, self._key)
            self._record.finish(KeyRefusal(refusal))

    def finish_unknown(self, reason: Reason) -> None:
        """End a run with unknown outcome; the request is never run again.

        :param reason: why the outcome is unknown.
        """
        if self._record.outcome is None:
            self._record.finish(
                key_refusal(
                    Ran.unknown,
                    reason,
                    'The outcome of the first request is unknown.',
                ),
            )


class RunInProgress:
    """The run of a key that has not ended yet.

    :param record: the record.
    """

    def __init__(self, record: KeyRecord) -> None:
        self._record = record

    async def wait(self) -> KeyOutcome:
        """Wait until the run ends, and return its outcome."""
        if self._record.outcome is not None:
            return self._record.outcome
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[KeyOutcome] = loop.create_future()
        if self._record.waiters is None:
            self._record.waiters = []
        self._record.waiters.append(fut)
        try:
            return await fut
        finally:
            if self._record.waiters is not None:
                self._record.waiters.remove(fut)


def parse_key(text: str) -> IdempotencyKey | None:
    """Return the parts of a key, or None if it is malformed.

    :param text: value of the header, which may be any text.
    """
    parts = text.split('.', _TICKET_FIELDS)
    if len(parts) <= _TICKET_FIELDS or len(text) > MAX_KEY_CHARS:
        return None
    instance, incarnation, epoch, caller_text = parts
    if not (epoch.isascii() and epoch.isdigit()):
        return None
    if not (instance and incarnation and caller_text):
        return None
    return IdempotencyKey(instance, incarnation, int(epoch), caller_text)


def key_refusal(
    ran: Ran,
    reason: Reason,
    detail: str,
    retry_after_ms: int = 0,
) -> KeyRefusal:
    """Return a refusal because of a key.

    :param ran: whether a target ran the request.
    :param reason: why it is refused.
    :param detail: explanation in one sentence, for people.
    :param retry_after_ms: milliseconds after which a retry may succeed.
    """
    return KeyRefusal(
        Refusal(
            ran=ran,
            reason=reason,
            detail=detail,
            retry_after_ms=retry_after_ms,
        ),
    )
