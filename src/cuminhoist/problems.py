"""Refusals and their encoding as RFC 9457 problem details."""

import msgspec

from .types import Ran, Reason

PROBLEM_TYPE = 'application/problem+json'

_STATUS_BY_REASON = {
    Reason.bad_request: 400,
    Reason.key_required: 400,
    Reason.unknown_key: 401,
    Reason.unknown_caller: 403,
    Reason.kind_not_allowed: 403,
    Reason.unknown_service: 404,
    Reason.body_too_large: 413,
    Reason.rate_exceeded: 429,
    Reason.head_timeout: 408,
    Reason.head_too_large: 431,
    Reason.target_lost: 502,
    Reason.target_timeout: 504,
    Reason.deadline: 504,
    Reason.key_expired: 409,
    Reason.answer_not_kept: 409,
    Reason.cancelled: 499,
}
_DEFAULT_STATUS = 503


class Refusal(msgspec.Struct, frozen=True, kw_only=True):
    """Why a request got no answer from a target.

    :param ran: whether a target ran the request.
    :param reason: why it was refused.
    :param detail: explanation in one sentence, for people.
    :param plan: the caller's plan; empty if unknown.
    :param retry_after_ms: milliseconds after which a retry may succeed; 0
        where a retry is of no use.
    """

    ran: Ran
    reason: Reason
    detail: str = ''
    plan: str = ''
    retry_after_ms: int = 0

    @property
    def status(self) -> int:
        """HTTP status of the refusal."""
        return _STATUS_BY_REASON.get(self.reason, _DEFAULT_STATUS)


class ProblemDetails(msgspec.Struct, frozen=True, kw_only=True):
    """A refusal as the problem JSON that callers receive."""

    type: str
    title: str
    status: int
    detail: str
    ran: Ran
    reason: Reason
    plan: str
    retry_after_ms: int

    @classmethod
    def from_refusal(cls, refusal: Refusal) -> 'ProblemDetails':
        """Build the problem JSON of a refusal.

        :param refusal: the refusal.
        """
        return cls(
            type=f'urn:cuminhoist:refusal:{refusal.reason}',
            title=refusal.reason.replace('-', ' '),
            status=refusal.status,
            detail=refusal.detail,
            ran=refusal.ran,
            reason=refusal.reason,
            plan=refusal.plan,
            retry_after_ms=refusal.retry_after_ms,
        )


def encode_problem(refusal: Refusal) -> bytes:
    """Return the problem JSON of a refusal.

    :param refusal: the refusal.
    """
    return msgspec.json.encode(ProblemDetails.from_refusal(refusal))


def problem_headers(refusal: Refusal) -> list[tuple[str, str]]:
    """Return the HTTP headers of a refusal.

    :param refusal: the refusal.
    """
    headers = [('content-type', PROBLEM_TYPE)]
    if refusal.retry_after_ms:
        retry_after_s = -(-refusal.retry_after_ms // 1000)
        headers.append(('retry-after', str(retry_after_s)))
    return headers
