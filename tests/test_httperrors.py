"""Errors of the HTTP interface on paths outside the services.

Callers parse each error as problem details, so the tests guard against
errors of another form and against internal details in them.
"""

import types

import httpx
import pytest
from litestar import Litestar

from cuminhoist.caller_api import lookup_handler
from cuminhoist.httperrors import exception_handlers

from .controlapps import ControlApps

pytestmark = pytest.mark.asyncio
CONTROL_INSTANCE = 'dom-00-01'


@pytest.mark.parametrize(
    ('method', 'path', 'status', 'title'),
    [
        ('GET', '/v1/nothing', 404, 'Not Found'),
        ('GET', '/', 404, 'Not Found'),
        ('POST', '/v1/report', 405, 'Method Not Allowed'),
        ('GET', '/v1/callers/acme/report', 403, 'Forbidden'),
        ('GET', '/v1/status', 401, 'Unauthorized'),
        ('POST', '/v1/control/changes', 401, 'Unauthorized'),
    ],
)
async def test_errors_are_problems(method, path, status, title):
    """Guards against error answers that are not problem details."""
    apps = ControlApps(operator_token='secret')
    transport = httpx.ASGITransport(apps.apps[CONTROL_INSTANCE])
    async with httpx.AsyncClient(transport=transport) as http:
        answer = await http.request(
            method, f'{apps.url(CONTROL_INSTANCE)}{path}'
        )
    assert answer.headers['content-type'] == 'application/problem+json'
    assert answer.status_code == status
    problem = answer.json()
    assert set(problem) == {'type', 'title', 'status', 'detail'}
    assert (problem['status'], problem['title']) == (status, title)
    assert problem['type'].startswith('urn:cuminhoist:http:')
    assert problem['detail']


def _raise_error(*_args):
    raise ZeroDivisionError('secret')


@pytest.mark.parametrize(
    ('method', 'query', 'status', 'detail_text'),
    [
        ('GET', '', 400, 'Missing required query parameter'),
        ('GET', '?caller=a', 400, "'service'"),
        ('GET', '?service=a', 400, "'caller'"),
        ('DELETE', '', 405, 'Not Allowed'),
        ('GET', '?caller=a&service=b', 500, 'internal error'),
    ],
)
async def test_errors_of_lookups(method, query, status, detail_text):
    """Guards against look-up errors that reveal internals or have another form.

    The text of an unexpected exception must not reach the caller.
    """
    lookup = types.SimpleNamespace(find=_raise_error)
    app = Litestar(
        [lookup_handler(lookup)],
        openapi_config=None,
        exception_handlers=exception_handlers(),
    )
    transport = httpx.ASGITransport(app)
    async with httpx.AsyncClient(transport=transport) as http:
        answer = await http.request(method, f'http://entry/v1/lookup{query}')
    assert answer.status_code == answer.json()['status'] == status
    assert answer.headers['content-type'] == 'application/problem+json'
    assert detail_text in answer.json()['detail']
    assert 'secret' not in answer.text
