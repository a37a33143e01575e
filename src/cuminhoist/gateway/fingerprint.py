"""Identifies the content of a request, whichever instance it comes to."""

import hashlib

from ..steering.poison_requests import Fingerprint
from .bodies import RequestBody
from .wire import IncomingRequest

_DIGEST_BYTES = 12
_LENGTH_BYTES = 8


def fingerprint(req: IncomingRequest, body: RequestBody) -> Fingerprint:
    """Return the identity of a request's caller, path and body.

    A caller that sends the request again gives it another identifier and may
    send it to another instance; the fingerprint stays the same. Of a long
    body, only the buffered part counts.

    :param req: the request.
    :param body: its body, with the buffer filled.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (
        req.method.encode('latin-1'),
        req.host.encode('latin-1'),
        req.request_target,
        body.buffered_start,
    ):
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    content = digest.hexdigest()
    digest.update(req.caller.encode('latin-1'))
    return Fingerprint(content, digest.hexdigest())
