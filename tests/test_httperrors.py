"""Tests of errors of the HTTP interface outside the services."""

import types

import httpx
import pytest
from litestar import Litestar

from cuminhoist.caller_api import lookup_handler
from cuminhoist.httperrors import exception_handlers

from .controlapps import ControlApps

pytestmark = pytest.mark.asyncio
NAME = 'dom-00-01'


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
    """Guards against errors that programs cannot read as problems."""
    apps = ControlApps(operator_token='secret')
    transport = httpx.ASGITransport(apps.apps[NAME])
    async with httpx.AsyncClient(transport=transport) as http:
        reply = await http.request(method, f'{apps.url(NAME)}{path}')
    assert reply.headers['content-type'] == 'application/problem+json'
    assert reply.status_code == status
    found = reply.json()
    assert set(found) == {'type', 'title', 'status', 'detail'}
    assert (found['status'], found['title']) == (status, title)
    assert found['type'].startswith('urn:cuminhoist:http:')
    assert found['detail']


def _fail(*_args):
    raise ZeroDivisionError('secret')


@pytest.mark.parametrize(
    ('method', 'query', 'status', 'part'),
    [
        ('GET', '', 400, 'Missing required query parameter'),
        ('GET', '?caller=a', 400, "'service'"),
        ('GET', '?service=a', 400, "'caller'"),
        ('DELETE', '', 405, 'Not Allowed'),
        ('GET', '?caller=a&service=b', 500, 'internal error'),
    ],
)
async def test_errors_of_lookups(method, query, status, part):
    """Guards against errors of look-ups that are no problems or tell all."""
    lookup = types.SimpleNamespace(find=_fail)
    app = Litestar(
        [lookup_handler(lookup)],
        openapi_config=None,
        exception_handlers=exception_handlers(),
    )
    transport = httpx.ASGITransport(app)
    async with httpx.AsyncClient(transport=transport) as http:
        reply = await http.request(method, f'http://entry/v1/lookup{query}')
    assert reply.status_code == reply.json()['status'] == status
    assert reply.headers['content-type'] == 'application/problem+json'
    assert part in reply.json()['detail']
    assert 'secret' not in reply.text
