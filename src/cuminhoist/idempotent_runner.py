"""Runs requests with idempotency keys at the key home of each key.

A key's request is dispatched at most once. Its answer is recorded while it
streams to the caller, and a resend with the key gets the recorded answer.
"""

import asyncio
import functools
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec
from returns.result import Failure, Result, Success

from .attempts import Answer, ForwardingError
from .caller_request import CheckedRequest
from .headers import body_framing
from .key_records import (
    MAX_RECORDED_BODY_BYTES,
    Fingerprint,
    IdempotencyKey,
    KeyRefusal,
    NewRun,
    RecordedAnswer,
    RunInProgress,
)
from .key_store import KeyStore
from .local_attempts import AttemptCompletion, PendingAnswer
from .logging_setup import logger
from .problems import Refusal
from .refusals import refuse
from .slots import SlotOutcome
from .types import Ran, Reason

SendRequest = Callable[
    [CheckedRequest], Awaitable[Result[PendingAnswer, Refusal]]
]

REPLAY_HEADER = (b'x-cuminhoist-replayed', b'1')

_log = logger('keys')


class RecordedBody:
    """Streams the body of an answer and buffers it for resends.

    A body longer than ``MAX_RECORDED_BODY_BYTES`` is streamed but not buffered.
    The body is read to its end even if the caller disconnects, so that a
    resend can get the answer.

    :param answer: the answer with the body.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._buffer = bytearray()
        self._fits_record = True
        self._is_complete = False
        self._on_complete: Callable[[bytes | None], None] | None = None
        self._read_task: asyncio.Task[None] | None = None

    def notify_when_complete(
        self, listener: Callable[[bytes | None], None]
    ) -> None:
        """Call a listener once the body has been read to its end.

        The attempt itself may complete earlier, when all bytes of the body
        have arrived but some are not read yet.

        :param listener: called with the body, or None if it is too long.
        """
        self._on_complete = listener
        if self._is_complete:
            self._complete()

    async def stream(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body."""
        async for chunk in self._answer.body:
            self._buffer_chunk(chunk)
            yield chunk
        self._complete()

    def read_without_caller(self) -> None:
        """Read the rest of the body without a caller.

        Takes the place of the answer's ``abort``.
        """
        if not self._is_complete and self._read_task is None:
            self._read_task = asyncio.create_task(self._read_to_end())

    async def _read_to_end(self) -> None:
        try:
            async for chunk in self._answer.body:
                self._buffer_chunk(chunk)
        except ForwardingError as exc:
            _log.warning(
                'Answer broke off after its caller disconnected: {}.', exc
            )
        else:
            self._complete()
        finally:
            self._answer.abort()

    def _buffer_chunk(self, chunk: bytes) -> None:
        if len(self._buffer) + len(chunk) > MAX_RECORDED_BODY_BYTES:
            self._fits_record = False
            self._buffer.clear()
        if self._fits_record:
            self._buffer += chunk

    def _complete(self) -> None:
        self._is_complete = True
        if self._on_complete is not None:
            self._on_complete(
                bytes(self._buffer) if self._fits_record else None
            )


class IdempotentRunner:
    """Runs requests with keys whose key home is this instance.

    :param store: records of the keys.
    :param send: dispatches a request to a target.
    """

    def __init__(self, store: KeyStore, send: SendRequest) -> None:
        self._store = store
        self._send = send
        self._tasks: set[asyncio.Task[Result[PendingAnswer, Refusal]]] = set()

    async def serve(
        self,
        checked: CheckedRequest,
        key: IdempotencyKey,
    ) -> Result[PendingAnswer, Refusal]:
        """Run a request, or return the outcome of its key's earlier run.

        :param checked: the request.
        :param key: its idempotency key.
        """
        decision = self._store.begin(
            checked.req.caller,
            key,
            _fingerprint(checked),
        )
        if isinstance(decision, NewRun):
            return await self._start_run(checked, decision)
        if isinstance(decision, RunInProgress):
            decision = await decision.wait()
        if isinstance(decision, KeyRefusal):
            return Failure(decision.refusal)
        return Success(_replay(decision))

    async def _start_run(
        self,
        checked: CheckedRequest,
        run: NewRun,
    ) -> Result[PendingAnswer, Refusal]:
        # The run continues if the caller disconnects. Cancelling it would
        # leave its outcome unknown, and a resend is likely to follow.
        task = asyncio.create_task(self._run_once(checked, run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_detach_caller)
            raise

    async def _run_once(
        self,
        checked: CheckedRequest,
        run: NewRun,
    ) -> Result[PendingAnswer, Refusal]:
        try:
            outcome = await self._send(checked)
        except BaseException:
            run.finish_unknown(Reason.cancelled)
            raise
        if isinstance(outcome, Failure):
            _finish_without_answer(run, outcome.failure())
            return outcome
        return Success(_record_answer(run, outcome.unwrap()))


def require_key(checked: CheckedRequest) -> Failure[Refusal]:
    """Return the refusal of a request that lacks a valid key.

    :param checked: the request.
    """
    return refuse(
        Reason.key_required,
        f'Kind {checked.kind.name!r} needs an idempotency key that begins '
        'with a ticket from a look-up.',
        checked.entitlement.plan,
    )


def _fingerprint(checked: CheckedRequest) -> Fingerprint:
    return Fingerprint.from_request(
        checked.req.method,
        f'{checked.req.service}{checked.req.path}',
        body_framing(checked.req.headers).length,
    )


def _finish_without_answer(run: NewRun, refusal: Refusal) -> None:
    if refusal.ran == Ran.not_run:
        run.abandon_not_run(refusal)
    else:
        run.finish_unknown(refusal.reason)


def _record_answer(run: NewRun, pending: PendingAnswer) -> PendingAnswer:
    answer = pending.answer
    recorded_body = RecordedBody(answer)

    def record(outcome: SlotOutcome) -> None:
        if outcome in {SlotOutcome.answered, SlotOutcome.failed}:
            recorded_body.notify_when_complete(
                functools.partial(run.complete, answer.status, answer.headers),
            )
        elif outcome == SlotOutcome.not_run:
            run.abandon_not_run(
                Refusal(ran=Ran.not_run, reason=Reason.target_refused),
            )
        else:
            run.finish_unknown(Reason.target_lost)

    pending.completion.add_listener(record)
    return PendingAnswer(
        msgspec.structs.replace(
            answer,
            body=recorded_body.stream(),
            abort=recorded_body.read_without_caller,
        ),
        pending.completion,
    )


def _replay(recorded: RecordedAnswer) -> PendingAnswer:
    completion = AttemptCompletion(lambda _outcome, _latency_s: None)
    completion(SlotOutcome.answered, 0)
    return PendingAnswer(
        Answer(
            recorded.status,
            [*recorded.headers, REPLAY_HEADER],
            _single_chunk(recorded.body),
        ),
        completion,
    )


async def _single_chunk(body: bytes) -> AsyncIterator[bytes]:
    if body:
        yield body


def _detach_caller(task: asyncio.Task[Result[PendingAnswer, Refusal]]) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if isinstance(outcome, Success):
        outcome.unwrap().answer.abort()
