"""One attempt of a request at one target."""

import asyncio
import contextlib

import httpx
import msgspec

from ..exchange import Exchange, Headers
from ..steering.decisions import Ending
from ..steering.targets import TargetEntry
from .answers import TargetAnswer, read_first_part
from .bodies import RequestBody
from .target_connections import TargetConnections
from .wire import IncomingRequest, WireFormat

_FIRST_FAILURE_STATUS = 500
_HTTP_ERRORS = (httpx.RemoteProtocolError, httpx.LocalProtocolError)


class AttemptOutcome(msgspec.Struct, frozen=True):
    """How an attempt ended, as far as it is known with its first part.

    :param answer: the answer; none if there is no valid one.
    :param may_have_run: whether the target may have worked on the request.
    :param detail: what went wrong, for the log.
    """

    ending: Ending
    answer: TargetAnswer | None = None
    may_have_run: bool = True
    detail: str = ''


class Attempter:
    """Sends requests to targets.

    :param wire: encodes what is passed on.
    :param upstreams: connections to targets.
    """

    def __init__(self, wire: WireFormat, upstreams: TargetConnections) -> None:
        self._wire = wire
        self._upstreams = upstreams

    async def send(
        self,
        req: IncomingRequest,
        body: RequestBody,
        target: TargetEntry,
        left_s: float,
    ) -> AttemptOutcome:
        """Send a request and return the first part of the answer.

        :param req: the request.
        :param body: its body.
        :param target: where to send it.
        :param left_s: time that is left, in seconds.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + left_s
        taken = await self._upstreams.acquire(target, left_s)
        if taken.conn is None:
            return AttemptOutcome(
                Ending.unreachable,
                may_have_run=False,
                detail=taken.error,
            )
        left_s = ends_at - loop.time()
        exchange = Exchange(
            self._wire.encode_attempt(req, left_s, target.name),
            lambda ended: self._give_back(target, ended),
            self._wire.echoed_header(req),
        )
        exchange.upload_complete = not req.has_body
        if self._upstreams.link.is_slow:
            exchange.high_water_bytes = self._upstreams.link.held_bytes
        try:
            async with asyncio.timeout(left_s):
                taken.conn.start(exchange)
                self._upload(exchange, req, body)
                answer = await read_first_part(
                    exchange,
                    self._upstreams.link.held_bytes,
                )
        except TimeoutError:
            abort(exchange)
            return AttemptOutcome(Ending.timeout, detail='timeout')
        except _HTTP_ERRORS as exc:
            abort(exchange)
            return AttemptOutcome(Ending.lost, detail=str(exc))
        except BaseException:
            abort(exchange)
            raise
        return self._judge(target, answer)

    def _judge(
        self,
        target: TargetEntry,
        answer: TargetAnswer,
    ) -> AttemptOutcome:
        notes = self._wire.read_metadata(answer.status, answer.headers)
        if notes.idle_s is not None:
            self._upstreams.note_idle_limit(target, notes.idle_s)
        if notes.not_run:
            if not answer.whole or notes.misdirected:
                abort(answer.exchange)
            ending = Ending.declined if notes.has_free_slots else Ending.shed
            return AttemptOutcome(
                Ending.misdirected if notes.misdirected else ending,
                may_have_run=False,
                detail=f'status {answer.status}, not run',
            )
        if answer.status >= _FIRST_FAILURE_STATUS:
            return AttemptOutcome(
                Ending.failed,
                answer,
                detail=f'status {answer.status}',
            )
        return AttemptOutcome(Ending.answered, answer)

    def _give_back(self, target: TargetEntry, exchange: Exchange) -> None:
        if exchange.complete:
            self._upstreams.release(target, exchange)

    def _upload(
        self,
        exchange: Exchange,
        req: IncomingRequest,
        body: RequestBody,
    ) -> None:
        if req.has_body:
            exchange.uploader = asyncio.create_task(
                _upload(exchange, req, body),
            )


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
        except Exception as exc:
            # The target must not take a part of the body for the whole.
            exchange.abort(exc)


def abort(exchange: Exchange) -> None:
    """Give an exchange up and close its connection.

    :param exchange: the request; nothing happens once it has ended.
    """
    exchange.abort(httpx.RemoteProtocolError('given up'))


def passed_headers(wire: WireFormat, answer: TargetAnswer) -> Headers:
    """Return the headers that the caller gets of an answer.

    :param wire: knows which of them concern one connection only.
    :param answer: the answer.
    """
    return wire.answer_headers(answer.headers)
