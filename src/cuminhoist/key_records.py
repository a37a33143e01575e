"""Idempotency keys, their records, and how a run of one ends."""

import abc
import asyncio
import hashlib

import msgspec

from .problems import Refusal
from .target_client import Headers
from .types import Ran, Reason

MAX_KEPT_BODY_BYTES = 64 * 1024
MAX_KEY_CHARS = 200

_TICKET_PARTS = 3
_DIGEST_BYTES = 16


class IdempotencyKey(msgspec.Struct, frozen=True):
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


class RecordedAnswer(msgspec.Struct, frozen=True):
    """The answer that the first request with the key got."""

    status: int
    headers: Headers
    body: bytes


class KeyRefusal(msgspec.Struct, frozen=True):
    """The key does not allow a dispatch."""

    refusal: Refusal


#: How the one run of a key ended, as resends see it.
KeyOutcome = RecordedAnswer | KeyRefusal


class KeyRecord:
    """The state of one key; without an outcome the request runs.

    :param fingerprint: what the request is.
    :param size: estimated memory in bytes.
    """

    __slots__ = ('fingerprint', 'outcome', 'size', 'waiting')

    def __init__(self, fingerprint: Fingerprint, size: int) -> None:
        self.fingerprint = fingerprint
        self.size = size
        self.outcome: KeyOutcome | None = None
        self.waiting: list[asyncio.Future[KeyOutcome]] | None = None

    def end(self, outcome: KeyOutcome) -> None:
        """Set the outcome and hand it to those who wait.

        :param outcome: how the run ended.
        """
        self.outcome = outcome
        for fut in self.waiting or ():
            if not fut.done():
                fut.set_result(outcome)
        self.waiting = None


class RecordStore(abc.ABC):
    """What a run needs of the store that holds its record."""

    @abc.abstractmethod
    def reserve(self, epoch: int, record: 'KeyRecord', size: int) -> bool:
        """Count the memory of an answer.

        :param epoch: epoch of the key.
        :param record: the record that keeps the answer.
        :param size: bytes of the answer.
        :returns: whether the answer may be kept.
        """

    @abc.abstractmethod
    def forget(self, caller: str, key: IdempotencyKey) -> None:
        """Drop the record of a request that was not run.

        :param caller: who sent it.
        :param key: the key.
        """


class NewRun:
    """The right to dispatch a request once; it must be ended.

    :param store: the store that holds the record.
    :param caller: who sent the request.
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
            self._record.end(RecordedAnswer(status, headers, body or b''))
            return
        self._record.end(
            key_refusal(
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
                key_refusal(
                    Ran.unknown,
                    reason,
                    'The outcome of the first request is not known.',
                ),
            )


class RunInProgress:
    """The request with this key runs now.

    :param record: the record.
    """

    def __init__(self, record: KeyRecord) -> None:
        self._record = record

    async def wait(self) -> KeyOutcome:
        """Wait for the outcome of the first request."""
        if self._record.outcome is not None:
            return self._record.outcome
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[KeyOutcome] = loop.create_future()
        if self._record.waiting is None:
            self._record.waiting = []
        self._record.waiting.append(fut)
        try:
            return await fut
        finally:
            if self._record.waiting is not None:
                self._record.waiting.remove(fut)


def parse_key(text: str) -> IdempotencyKey | None:
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
    return IdempotencyKey(instance, incarnation, int(epoch), own)


def key_refusal(
    ran: Ran,
    reason: Reason,
    detail: str,
    retry_after_ms: int = 0,
) -> KeyRefusal:
    """Return a refusal of a key.

    :param ran: whether the request ran.
    :param reason: why it is refused.
    :param detail: one sentence for a person.
    :param retry_after_ms: when to try again.
    """
    return KeyRefusal(
        Refusal(
            ran=ran,
            reason=reason,
            detail=detail,
            retry_after_ms=retry_after_ms,
        ),
    )
