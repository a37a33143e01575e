"""Errors of the HTTP interface as RFC 9457 problem details."""

import http
from typing import Any

import msgspec
from litestar import Request, Response
from litestar.exceptions import HTTPException, ValidationException

from .logging_setup import logger
from .problems import PROBLEM_TYPE

_log = logger('http')
_AnyRequest = Request[Any, Any, Any]


class HttpProblem(msgspec.Struct, frozen=True, kw_only=True):
    """The problem JSON of a request that no service was asked for."""

    type: str
    title: str
    status: int
    detail: str


def problem_response(
    _request: _AnyRequest,
    exc: Exception,
) -> Response[bytes]:
    """Return the answer to a request that failed.

    :param _request: the request.
    :param exc: why it failed.
    """
    if not isinstance(exc, HTTPException):
        _log.opt(exception=exc).error('Answering a request failed.')
        return _response(500, 'An internal error ended the request.', {})
    detail = exc.detail
    if isinstance(exc, ValidationException):
        detail = _with_fields(exc)
    return _response(exc.status_code, detail, dict(exc.headers or {}))


def exception_handlers() -> dict[int | type[Exception], Any]:
    """Return the exception handlers of the HTTP interface."""
    return {HTTPException: problem_response, Exception: problem_response}


def _response(
    status: int,
    detail: str,
    headers: dict[str, str],
) -> Response[bytes]:
    title = http.HTTPStatus(status).phrase
    name = title.lower().replace(' ', '-')
    problem = HttpProblem(
        type=f'urn:cuminhoist:http:{name}',
        title=title,
        status=status,
        detail=detail,
    )
    return Response(
        msgspec.json.encode(problem),
        status_code=status,
        headers=headers,
        media_type=PROBLEM_TYPE,
    )


def _with_fields(exc: ValidationException) -> str:
    found: Any = exc.extra
    if not isinstance(found, list):
        return exc.detail
    faults = '; '.join(
        f'{fault.get("key", "$")}: {fault.get("message", "")}'
        for fault in found
        if isinstance(fault, dict)
    )
    return f'{exc.detail}: {faults}' if faults else exc.detail
