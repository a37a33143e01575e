"""Sound answers that are cut, repeated and joined on kept connections.

The tests guard against a second run of a one-time request, an id or a body of
another answer, a success for a failure, and a whole answer for a cut one. Set
``CUMINHOIST_FUZZ`` to draw that many cases instead.
"""

import os
import random

import msgspec
import pytest

from tests.builders_answers import (
    INTERIM_HEAD,
    SoundAnswer,
    shed_answer,
    split,
)

from .builders_streams import FedConnections, attempt

CASES = int(os.environ.get('CUMINHOIST_FUZZ', '2000'))
SEEDS = range(1, 5)
REQUESTS_PER_CASE = 3
BODIES = (b'', b'whole', b'a\r\n\r\nb', b'\r\n', b'x' * 300)
JUNK = (b'\x00', b'\r\n', b'HTTP/1.1 ', b'junk\r\n\r\n', b'X-A: b\r\n')


class Stream(msgspec.Struct, frozen=True):
    """What a target sends as the answer to one request.

    :param is_whole: whether the answer that is due is complete in it.
    :param is_clean: whether only whole answers of other requests, of which
        the end is known, are in front of it.
    :param is_first: whether nothing is in front of it but an interim answer,
        which belongs to no other request.
    """

    due: SoundAnswer
    sent: list[bytes]
    ending: str
    is_whole: bool
    is_clean: bool
    is_first: bool


def draw_answer(rng, request_id):
    """Return a sound answer to a request."""
    body = rng.choice(BODIES)
    kind = rng.choice(('shed', 'empty', 200, 200, 200, 404, 500, 503))
    if kind == 'shed':
        return shed_answer(request_id, body)
    if kind == 'empty':
        return SoundAnswer(request_id, 204, b'', 'close')
    framing = rng.choice(('length', 'length', 'chunked', 'close'))
    return SoundAnswer(
        request_id,
        kind,
        body,
        framing,
        interim=rng.random() < 0.1,
        has_trailer=rng.random() < 0.2,
    )


def draw_part(rng, earlier):
    """Return bytes in front of an answer, and whether they are harmless."""
    if not earlier or rng.random() < 0.1:
        return rng.choice(JUNK), False
    other = rng.choice(earlier)
    whole = other.encode()
    if rng.random() < 0.3:
        return whole, other.framing != 'close' or other.status == 204
    size = rng.randrange(len(whole) + 1)
    return whole[:size], not size


def draw_stream(rng, request_id, earlier):
    """Return what a target sends for one request."""
    due = draw_answer(rng, request_id)
    parts = [
        draw_part(rng, earlier) for _ in range(rng.choice((0, 0, 0, 1, 1, 2)))
    ]
    whole = due.encode()
    ends_at_close = due.framing == 'close' and due.status != 204
    ending = rng.choice(('keep', 'keep', 'close', 'reset'))
    if ends_at_close:
        ending = rng.choice(('close', 'close', 'reset'))
    sent = whole
    if rng.random() < 0.2:
        sent = whole[: rng.randrange(len(whole))]
        if ends_at_close and len(sent) >= len(whole) - len(due.body):
            # An orderly close is the end of such a body.
            ending = 'reset'
        ending = 'close' if ending == 'keep' else ending
    elif not ends_at_close and rng.random() < 0.2:
        sent += draw_part(rng, [*earlier, due])[0]
    stream = b''.join(part for part, _ in parts) + sent
    is_whole = len(sent) >= len(whole)
    return Stream(
        due,
        split(stream, rng) if rng.random() < 0.5 else [stream],
        ending,
        is_whole and not (ends_at_close and ending == 'reset'),
        all(harmless for _, harmless in parts),
        all(part in {b'', INTERIM_HEAD} for part, _ in parts),
    )


def player(stream):
    """Return a function that sends a stream to a connection."""

    def play(transport):
        transport.feed(*stream.sent)
        if stream.ending == 'reset':
            transport.lose(ConnectionResetError())
        elif stream.ending == 'close' or transport.has_exchange:
            transport.end()

    return play


def judge(stream, outcome, body):
    """Fail if an outcome contradicts what the target has sent."""
    due = stream.due
    answer = outcome.answer
    if not outcome.may_have_run:
        assert due.not_run and stream.is_first, stream
    if answer is not None:
        ids = [text for name, text in answer.headers if name == b'x-request-id']
        assert ids == [due.request_id.encode()], stream
        assert answer.status == due.status, stream
    if body is not None:
        assert stream.is_whole, stream
        assert body == due.body, stream
    if stream.is_whole and stream.is_clean:
        told = body == due.body or (due.not_run and not outcome.may_have_run)
        assert told or (due.not_run and not stream.is_first), stream


async def play_case(seed):
    """Send some requests over one connection that a target spoils."""
    rng = random.Random(seed)
    connections = FedConnections()
    earlier = []
    for number in range(REQUESTS_PER_CASE):
        stream = draw_stream(rng, f'r{number}', earlier)
        outcome, body = await attempt(
            connections, stream.due.request_id, player(stream)
        )
        judge(stream, outcome, body)
        earlier.append(stream.due)
        if rng.random() < 0.1:
            connections.transport.feed(draw_part(rng, earlier)[0])


@pytest.mark.parametrize('seed', SEEDS)
async def test_spoilt_stream_decided_an_outcome(seed):
    """Guards against bytes of another answer (TWICE, REFUSED, MIXED)."""
    for number in range(CASES // len(SEEDS)):
        await play_case(f'{seed}/{number}')
