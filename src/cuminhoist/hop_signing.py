"""Signed header of requests that one entry instance forwards to another.

The header names the origin of the request. Its tag (keyed BLAKE2b with the
cluster key) covers method, path and caller, so it can't be moved to another
request, and a nonce makes each header valid once.
"""

import base64
import collections
import hashlib
import hmac
import secrets
from collections.abc import Callable

import msgspec
from returns.result import Failure, Result, Success

from .clock import Clock

#: Allowed difference between the clocks of two instances. A larger value only
#: means that nonces are remembered for longer.
MAX_CLOCK_SKEW_S = 60.0
#: Limit of the time that a hop may have left until its deadline.
MAX_HOP_TIMEOUT_S = 3600.0
#: Bounds the memory for nonces; further hops are refused.
MAX_NONCES = 500_000
_NONCE_BYTES = 12
_TAG_BYTES = 16
_HEADER_PARTS = 2
_MS_PER_S = 1000


class Hop(msgspec.Struct, frozen=True, array_like=True):
    """Content of a hop header: origin and destination of a request.

    :param origin: instance that received the request from the caller.
    :param domain: failure domain of that instance.
    :param region: home region of the request.
    :param destination: instance that the request is forwarded to.
    :param expires_ms: Unix time in milliseconds after which the header is
        not accepted, apart from clock skew.
    :param nonce: random text; a second use is refused.
    :param may_queue: whether the request may wait for a slot at the
        destination.
    """

    origin: str
    domain: str
    region: str
    destination: str
    expires_ms: int
    nonce: str
    may_queue: bool = False


class HopRequest(msgspec.Struct, frozen=True, array_like=True):
    """The parts of a request that the tag of its hop header covers."""

    method: str
    path: str
    caller: str


class HopError(msgspec.Struct, frozen=True):
    """Why a hop header is not valid.

    :param forged: whether the header was not made for this request with the
        key of this cluster; the request then counts as a caller's.
    """

    reason: str
    forged: bool


class HopSigner:
    """Signs and verifies hop headers.

    :param cluster_key: secret shared by all instances of a cluster.
    :param instance: name of this instance.
    :param clock: source of time.
    :param nonce_source: returns a new nonce; random by default.
    """

    def __init__(
        self,
        cluster_key: str,
        instance: str,
        clock: Clock,
        nonce_source: Callable[[], str] | None = None,
    ) -> None:
        self._key = hashlib.blake2b(cluster_key.encode()).digest()
        self._instance = instance
        self._clock = clock
        self._make_nonce = nonce_source or _random_nonce
        self._expiry_by_nonce: dict[str, float] = {}
        self._nonces_by_age: collections.deque[str] = collections.deque()

    def sign(
        self,
        req: HopRequest,
        destination: str,
        origin: Hop,
        timeout_s: float,
    ) -> str:
        """Return the hop header for a request to another instance.

        :param req: the request.
        :param destination: instance that the request is forwarded to.
        :param origin: hop with origin, domain, region and permission to
            queue; destination, expiry and nonce are filled in.
        :param timeout_s: time left until the deadline, in seconds.
        """
        hop = msgspec.structs.replace(
            origin,
            destination=destination,
            expires_ms=int((self._clock.wall() + timeout_s) * _MS_PER_S),
            nonce=self._make_nonce(),
        )
        body = msgspec.json.encode(hop)
        return (
            f'{_encode_base64(body)}.'
            f'{_encode_base64(self._compute_tag(body, req))}'
        )

    def verify(self, header: str, req: HopRequest) -> Result[Hop, HopError]:
        """Return the hop of a request, or why its header is not valid.

        :param header: the header as received; may be forged.
        :param req: the request as received.
        """
        parts = header.split('.')
        if len(parts) != _HEADER_PARTS:
            return Failure(HopError('malformed', forged=True))
        body, tag = _decode_base64(parts[0]), _decode_base64(parts[1])
        if not hmac.compare_digest(tag, self._compute_tag(body, req)):
            return Failure(HopError('wrong tag', forged=True))
        try:
            hop = msgspec.json.decode(body, type=Hop)
        except (msgspec.DecodeError, RecursionError):
            return Failure(HopError('malformed', forged=True))
        return self._check_hop(hop)

    def _check_hop(self, hop: Hop) -> Result[Hop, HopError]:
        if hop.destination != self._instance:
            return Failure(HopError('sent to another instance', forged=False))
        left_s = hop.expires_ms / _MS_PER_S - self._clock.wall()
        if (
            not -MAX_CLOCK_SKEW_S
            < left_s
            < MAX_HOP_TIMEOUT_S + MAX_CLOCK_SKEW_S
        ):
            return Failure(HopError('expired', forged=False))
        self._drop_expired_nonces()
        if hop.nonce in self._expiry_by_nonce:
            return Failure(HopError('used before', forged=False))
        if len(self._expiry_by_nonce) >= MAX_NONCES:
            return Failure(HopError('too many hops', forged=False))
        self._expiry_by_nonce[hop.nonce] = (
            self._clock.now() + left_s + MAX_CLOCK_SKEW_S
        )
        self._nonces_by_age.append(hop.nonce)
        return Success(hop)

    def _drop_expired_nonces(self) -> None:
        # Deadlines differ, so expired nonces may stay behind an older one that
        # has not expired. MAX_NONCES bounds their number.
        now = self._clock.now()
        while (
            self._nonces_by_age
            and self._expiry_by_nonce[self._nonces_by_age[0]] < now
        ):
            self._expiry_by_nonce.pop(self._nonces_by_age.popleft())

    def _compute_tag(self, body: bytes, req: HopRequest) -> bytes:
        return hashlib.blake2b(
            msgspec.msgpack.encode((body, req)),
            key=self._key,
            digest_size=_TAG_BYTES,
            person=b'hop',
        ).digest()


def _random_nonce() -> str:
    return secrets.token_urlsafe(_NONCE_BYTES)


def _encode_base64(decoded: bytes) -> str:
    return base64.urlsafe_b64encode(decoded).decode()


def _decode_base64(text: str) -> bytes:
    try:
        decoded = base64.b64decode(text.encode(), altchars=b'-_', validate=True)
    except ValueError:
        return b''
    # Several texts decode to the same bytes; only the canonical encoding is
    # accepted.
    return decoded if _encode_base64(decoded) == text else b''
