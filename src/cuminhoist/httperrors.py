"""Errors of the HTTP interface as problem details (RFC 9457)."""

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
    """Problem details of a request to a path outside the services."""

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
    :param exc: cause of the failure.
    """
    if not isinstance(exc, HTTPException):
        _log.opt(exception=exc).error('A handler of the HTTP interface failed.')
        return _response(500, 'An internal error ended the request.', {})
    detail = exc.detail
    if isinstance(exc, ValidationException):
        detail = _detail_with_fields(exc)
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
    type_name = title.lower().replace(' ', '-')
    problem = HttpProblem(
        type=f'urn:cuminhoist:http:{type_name}',
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


def _detail_with_fields(exc: ValidationException) -> str:
    field_errors: Any = exc.extra
    if not isinstance(field_errors, list):
        return exc.detail
    errors_text = '; '.join(
        f'{error.get("key", "$")}: {error.get("message", "")}'
        for error in field_errors
        if isinstance(error, dict)
    )
    return f'{exc.detail}: {errors_text}' if errors_text else exc.detail
