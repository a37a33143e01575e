"""Sends a request to one target and classifies how the attempt ended."""

import asyncio
import contextlib

import msgspec

from ..client_connection import STATUSES_WITHOUT_BODY, ClientConnection
from ..exceptions import (
    ConnectionLostError,
    LocalProtocolError,
    ProtocolError,
    RemoteProtocolError,
)
from ..exchange import Exchange, Headers
from ..steering.decisions import Ending
from ..steering.target_load import TargetLoad
from ..steering.targets import TargetEntry
from .answer_limits import AnswerLimits, wait_for_head
from .answers import TargetAnswer, read_answer_start
from .bodies import RequestBody
from .target_connections import TargetConnections
from .wire import AnswerMetadata, IncomingRequest, WireFormat

#: How long the body of an answer that asks for a pause may take, in seconds.
#: The pause counts from the head of the answer and must be known by then.
PAUSE_BODY_TIMEOUT_S = 0.25

_MIN_FAILURE_STATUS = 500


class AttemptOutcome(msgspec.Struct, frozen=True):
    """How an attempt ended, known once the start of the answer is read.

    :param answer: the answer; None if there is no valid one.
    :param may_have_run: whether the target may have run the request.
    :param detail: the failure, for the trail of the log line.
    :param target_leaving: whether the target says that it is about to stop.
    :param pause_s: how long the target asks this instance to send it no
        requests, in seconds; 0 for no pause.
    :param odd_pause: the text of a pause that is ignored or bounded, for the
        log; empty otherwise.
    :param limit_per_s: requests per second that the target takes from all
        instances together; infinite if its answer names no limit, None if no
        answer of it arrived.
    :param connection_lost: whether the connection closed before the end of
        the answer.
    :param load: load of the target; None if its answer does not tell.
    :param odd_load: the text of a load header that can't be parsed, for the
        log; empty otherwise.
    """

    ending: Ending
    answer: TargetAnswer | None = None
    may_have_run: bool = True
    detail: str = ''
    target_leaving: bool = False
    pause_s: float = 0
    odd_pause: str = ''
    limit_per_s: float | None = None
    connection_lost: bool = False
    load: TargetLoad | None = None
    odd_load: str = ''


class AttemptSender:
    """Sends requests to targets.

    :param wire: encodes the requests and decodes the targets' metadata.
    :param connections: connections to targets.
    """

    def __init__(
        self, wire: WireFormat, connections: TargetConnections
    ) -> None:
        self._wire = wire
        self._connections = connections

    async def send(
        self,
        req: IncomingRequest,
        body: RequestBody,
        target: TargetEntry,
        limits: AnswerLimits,
    ) -> AttemptOutcome:
        """Send a request and return the outcome with the start of the answer.

        :param req: the request.
        :param body: body of the request.
        :param target: the target to send it to.
        :param limits: until when its answer may arrive.
        :raises LocalProtocolError: if the request can't be sent as it is;
            nothing was sent then.
        """
        loop = asyncio.get_running_loop()
        left_s = limits.head_by - loop.time()
        connected = await self._connections.acquire(target, left_s)
        if connected.conn is None:
            return AttemptOutcome(
                Ending.unreachable,
                may_have_run=False,
                detail=connected.error,
            )
        left_s = limits.head_by - loop.time()
        exchange = Exchange(
            self._wire.encode_attempt(req, left_s, target.name),
            lambda ended: self._release_connection(target, ended),
            self._wire.echoed_header(req),
        )
        exchange.upload_complete = not req.has_body
        if self._connections.pacer.is_slow:
            exchange.high_water_bytes = self._connections.pacer.buffer_bytes
        _start(connected.conn, exchange)
        try:
            self._start_upload(exchange, req, body)
            await wait_for_head(exchange, limits)
            answer = await read_answer_start(
                exchange,
                self._connections.pacer.buffer_bytes,
                limits,
                self._body_timeout_s(exchange),
            )
        except TimeoutError:
            abort(exchange)
            return self._outcome_without_answer(
                exchange, Ending.timeout, 'timeout'
            )
        except ProtocolError as exc:
            abort(exchange)
            outcome = self._outcome_without_answer(
                exchange, Ending.lost, str(exc)
            )
            return msgspec.structs.replace(
                outcome, connection_lost=isinstance(exc, ConnectionLostError)
            )
        except BaseException:
            abort(exchange)
            raise
        return self._classify(target, answer)

    def _body_timeout_s(self, exchange: Exchange) -> float | None:
        metadata = self._wire.read_metadata(exchange.status, exchange.headers)
        return PAUSE_BODY_TIMEOUT_S if metadata.pause_s else None

    def _outcome_without_answer(
        self, exchange: Exchange, ending: Ending, detail: str
    ) -> AttemptOutcome:
        if not exchange.head_received:
            return AttemptOutcome(ending, detail=detail)
        # What the head tells about the target holds also without the body.
        metadata = self._wire.read_metadata(exchange.status, exchange.headers)
        return AttemptOutcome(
            ending,
            detail=detail,
            target_leaving=metadata.target_leaving,
            pause_s=metadata.pause_s,
            odd_pause=metadata.odd_pause,
            limit_per_s=metadata.limit_per_s,
        )

    def _classify(
        self,
        target: TargetEntry,
        answer: TargetAnswer,
    ) -> AttemptOutcome:
        metadata = self._wire.read_metadata(answer.status, answer.headers)
        doubt = _find_doubt(metadata, answer)
        if doubt:
            abort(answer.exchange)
            return AttemptOutcome(Ending.lost, detail=doubt)
        if metadata.idle_timeout_s is not None:
            self._connections.set_idle_timeout(target, metadata.idle_timeout_s)
        if metadata.not_run:
            if not answer.body_complete or metadata.misdirected:
                abort(answer.exchange)
            has_free_slots = metadata.load and metadata.load.has_free_slots
            ending = Ending.declined if has_free_slots else Ending.shed
            return AttemptOutcome(
                Ending.misdirected if metadata.misdirected else ending,
                may_have_run=False,
                detail=f'status {answer.status}, not run',
                target_leaving=metadata.target_leaving,
                pause_s=metadata.pause_s,
                odd_pause=metadata.odd_pause,
                limit_per_s=(
                    None if metadata.misdirected else metadata.limit_per_s
                ),
                load=None if metadata.misdirected else metadata.load,
                odd_load='' if metadata.misdirected else metadata.odd_load,
            )
        failed = answer.status >= _MIN_FAILURE_STATUS
        if not failed and not metadata.stamped:
            # The application of the target has not given this answer.
            abort(answer.exchange)
            return AttemptOutcome(
                Ending.lost,
                detail=f'status {answer.status} without a stamp',
                target_leaving=metadata.target_leaving,
                limit_per_s=metadata.limit_per_s,
            )
        return AttemptOutcome(
            Ending.failed if failed else Ending.answered,
            answer,
            detail=f'status {answer.status}' if failed else '',
            target_leaving=metadata.target_leaving,
            pause_s=metadata.pause_s,
            odd_pause=metadata.odd_pause,
            limit_per_s=metadata.limit_per_s,
            load=metadata.load,
            odd_load=metadata.odd_load,
        )

    def _release_connection(
        self, target: TargetEntry, exchange: Exchange
    ) -> None:
        if exchange.complete:
            self._connections.release(target, exchange)

    def _start_upload(
        self,
        exchange: Exchange,
        req: IncomingRequest,
        body: RequestBody,
    ) -> None:
        if req.has_body:
            exchange.uploader = asyncio.create_task(
                _upload(exchange, req, body),
            )


def _find_doubt(metadata: AnswerMetadata, answer: TargetAnswer) -> str:
    """Return why an answer must not decide the outcome; empty if it may.

    Behind an answer to another request, a success or a failure is passed on,
    since it says of itself that the request has run. That it has not run is
    not believed: a one-time request would run at another target.
    """
    if metadata.contradicts_itself:
        return f'status {answer.status} in an answer that contradicts itself'
    if metadata.not_run and answer.exchange.is_behind_other:
        return f'status {answer.status} behind another answer'
    return ''


def _start(conn: ClientConnection, exchange: Exchange) -> None:
    try:
        conn.start(exchange)
    except LocalProtocolError:
        # The exchange does not own the connection yet, so that aborting it
        # would leave the connection open.
        conn.abort()
        raise


async def _upload(
    exchange: Exchange,
    req: IncomingRequest,
    body: RequestBody,
) -> None:
    conn = exchange.conn
    if conn is None:
        return
    with contextlib.suppress(asyncio.CancelledError):
        try:
            await conn.upload(exchange, body.chunks(), req.chunked)
            _require_whole_body(req, body)
        except Exception as exc:
            # The target must not mistake a truncated body for a whole one.
            exchange.abort(exc)


def _require_whole_body(req: IncomingRequest, body: RequestBody) -> None:
    # The target would read the next request as the rest of this body.
    if req.body_bytes not in {None, body.size}:
        raise LocalProtocolError('the body is not as long as declared')


def abort(exchange: Exchange) -> None:
    """Abort an exchange and close its connection.

    :param exchange: the exchange; nothing happens once it has ended.
    """
    exchange.abort(RemoteProtocolError('attempt aborted'))


def headers_for_caller(wire: WireFormat, answer: TargetAnswer) -> Headers:
    """Return the headers of an answer that the caller gets.

    :param wire: drops the headers that concern one connection only.
    :param answer: the answer of a target.
    """
    headers = wire.answer_headers(answer.headers)
    if answer.status not in STATUSES_WITHOUT_BODY:
        return headers
    # The listener would wait for as many bytes (RFC 9110, section 8.6).
    return [header for header in headers if header[0] != b'content-length']
