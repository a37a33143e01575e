"""Requests that may not be repeated: at most one dispatch for each key."""

import asyncio
import functools
from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec
from returns.result import Failure, Result, Success

from .attempts import Answer, ForwardingError
from .caller_request import CheckedRequest
from .headers import body_framing
from .key_records import (
    MAX_KEPT_BODY_BYTES,
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

Run = Callable[[CheckedRequest], Awaitable[Result[PendingAnswer, Refusal]]]

REPLAY_HEADER = (b'x-cuminhoist-replayed', b'1')

_log = logger('keys')


class RecordedBody:
    """A body that is passed on and kept for resends while it is short.

    It is read to its end even if the caller leaves, so that a resend gets
    the answer.

    :param answer: the answer.
    """

    def __init__(self, answer: Answer) -> None:
        self._answer = answer
        self._kept = bytearray()
        self._is_short = True
        self._is_whole = False
        self._on_whole: Callable[[bytes | None], None] | None = None
        self._draining: asyncio.Task[None] | None = None

    def when_whole(self, listener: Callable[[bytes | None], None]) -> None:
        """Call a listener when the whole body was read.

        The end of an attempt comes earlier, when all bytes have arrived.

        :param listener: called with the body, None if it is too long.
        """
        self._on_whole = listener
        if self._is_whole:
            self._end()

    async def stream(self) -> AsyncIterator[bytes]:
        """Return the body."""
        async for chunk in self._answer.body:
            self._keep(chunk)
            yield chunk
        self._end()

    def leave(self) -> None:
        """Read on without a caller; called when the caller is done."""
        if not self._is_whole and self._draining is None:
            self._draining = asyncio.create_task(self._drain())

    async def _drain(self) -> None:
        try:
            async for chunk in self._answer.body:
                self._keep(chunk)
        except ForwardingError as exc:
            _log.warning('An answer was cut after its caller left: {}.', exc)
        else:
            self._end()
        finally:
            self._answer.abort()

    def _keep(self, chunk: bytes) -> None:
        if len(self._kept) + len(chunk) > MAX_KEPT_BODY_BYTES:
            self._is_short = False
            self._kept.clear()
        if self._is_short:
            self._kept += chunk

    def _end(self) -> None:
        self._is_whole = True
        if self._on_whole is not None:
            self._on_whole(bytes(self._kept) if self._is_short else None)


class IdempotentRunner:
    """Runs requests with keys whose home is this instance.

    :param store: records of the keys.
    :param run: attempts a request.
    """

    def __init__(self, store: KeyStore, run: Run) -> None:
        self._store = store
        self._run = run
        self._tasks: set[asyncio.Task[Result[PendingAnswer, Refusal]]] = set()

    async def serve(
        self,
        checked: CheckedRequest,
        key: IdempotencyKey,
    ) -> Result[PendingAnswer, Refusal]:
        """Return the answer of the one run of a key.

        :param checked: the request.
        :param key: its key.
        """
        decision = self._store.begin(
            checked.req.caller,
            key,
            _fingerprint(checked),
        )
        if isinstance(decision, NewRun):
            return await self._start(checked, decision)
        if isinstance(decision, RunInProgress):
            decision = await decision.wait()
        if isinstance(decision, KeyRefusal):
            return Failure(decision.refusal)
        return Success(_replayed(decision))

    async def _start(
        self,
        checked: CheckedRequest,
        run: NewRun,
    ) -> Result[PendingAnswer, Refusal]:
        # The run goes on if the caller disconnects: to break it off would
        # leave its effect unknown to the resend that is likely to follow.
        task = asyncio.create_task(self._run_once(checked, run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            task.add_done_callback(_leave)
            raise

    async def _run_once(
        self,
        checked: CheckedRequest,
        run: NewRun,
    ) -> Result[PendingAnswer, Refusal]:
        try:
            outcome = await self._run(checked)
        except BaseException:
            run.finish_unknown(Reason.cancelled)
            raise
        if isinstance(outcome, Failure):
            _end_without_answer(run, outcome.failure())
            return outcome
        return Success(_recorded(run, outcome.unwrap()))


def require_key(checked: CheckedRequest) -> Failure[Refusal]:
    """Return the refusal of a request without a valid key.

    :param checked: the request.
    """
    return refuse(
        Reason.key_required,
        f'{checked.kind.name!r} needs an idempotency key that begins with '
        'a ticket of a look-up.',
        checked.entitlement.plan,
    )


def _fingerprint(checked: CheckedRequest) -> Fingerprint:
    return Fingerprint.from_request(
        checked.req.method,
        f'{checked.req.service}{checked.req.path}',
        body_framing(checked.req.headers).length,
    )


def _end_without_answer(run: NewRun, refusal: Refusal) -> None:
    if refusal.ran == Ran.not_run:
        run.abandon_not_run(refusal)
    else:
        run.finish_unknown(refusal.reason)


def _recorded(run: NewRun, dispatched: PendingAnswer) -> PendingAnswer:
    answer = dispatched.answer
    kept = RecordedBody(answer)

    def record(outcome: SlotOutcome) -> None:
        if outcome in {SlotOutcome.answered, SlotOutcome.failed}:
            kept.when_whole(
                functools.partial(run.complete, answer.status, answer.headers),
            )
        elif outcome == SlotOutcome.not_run:
            run.abandon_not_run(
                Refusal(ran=Ran.not_run, reason=Reason.target_refused),
            )
        else:
            run.finish_unknown(Reason.target_lost)

    dispatched.completion.add_listener(record)
    return PendingAnswer(
        msgspec.structs.replace(answer, body=kept.stream(), abort=kept.leave),
        dispatched.completion,
    )


def _replayed(first: RecordedAnswer) -> PendingAnswer:
    end = AttemptCompletion(lambda _outcome, _latency_s: None)
    end(SlotOutcome.answered, 0)
    return PendingAnswer(
        Answer(
            first.status,
            [*first.headers, REPLAY_HEADER],
            _one_chunk(first.body),
        ),
        end,
    )


async def _one_chunk(body: bytes) -> AsyncIterator[bytes]:
    if body:
        yield body


def _leave(task: asyncio.Task[Result[PendingAnswer, Refusal]]) -> None:
    if task.cancelled() or task.exception() is not None:
        return
    outcome = task.result()
    if isinstance(outcome, Success):
        outcome.unwrap().answer.abort()
