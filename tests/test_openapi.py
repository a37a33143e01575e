"""Tests of the OpenAPI schema.

litestar does not derive the services route, a plain ASGI mount; the tests
guard against a schema that leaves it out.
"""

import json

from litestar import Litestar

from cuminhoist.caller_api import lookup_handler, services_handler
from cuminhoist.openapi import openapi_config
from cuminhoist.types import Ran, Reason

from .builders_carry import RunningServer
from .test_lookup import make_lookup


async def test_schema_has_the_routes_headers_and_reasons_of_callers():
    """Guards against a route, header or reason that the schema omits."""
    lookup = make_lookup()
    app = Litestar(
        [services_handler(None), lookup_handler(lookup)],
        openapi_config=openapi_config(),
    )
    async with RunningServer(app) as server:
        request = b'GET %b HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
        answer = await server.send(request % b'/v1/openapi.json')
        refused = await server.send(request % b'/v1/services/')
    schema = json.loads(answer.partition(b'\r\n\r\n')[2])
    schemas = schema['components']['schemas']
    assert '/v1/lookup' in schema['paths']
    services = schema['paths']['/v1/services/{service}/{path}']
    names = {parameter['name'] for parameter in services['parameters']}
    assert {'x-cuminhoist-caller', 'x-cuminhoist-deadline-ms'} <= names
    assert schemas['Ran']['enum'] == sorted(Ran)
    assert schemas['Reason']['enum'] == sorted(Reason)
    assert 'ran' in schemas['ProblemDetails']['required']
    assert 'entries' in schemas['LookupAnswer']['required']
    assert b'not-run' in refused
