"""Describes the HTTP interface for callers as an OpenAPI schema.

litestar derives the schema of its own handlers. The services route is a plain
ASGI mount, so its paths, headers and refusals are added here.
"""

from typing import Any

import msgspec
from litestar import Request
from litestar.openapi.config import OpenAPIConfig
from litestar.openapi.plugins import JsonRenderPlugin

from .problems import PROBLEM_TYPE, ProblemDetails
from .types import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    KEY_HEADER,
    KIND_HEADER,
)

#: Version of the interface, not of the program.
API_VERSION = '1'
_SCHEMA_REF = '#/components/schemas/{name}'
_METHODS = ('get', 'head', 'post', 'put', 'patch', 'delete', 'options')

SchemaObject = dict[str, Any]


def openapi_config() -> OpenAPIConfig:
    """Return the configuration that serves ``/v1/openapi.json``."""
    return OpenAPIConfig(
        title='cuminhoist',
        version=API_VERSION,
        path='/v1',
        render_plugins=[CallersSchema()],
    )


class CallersSchema(JsonRenderPlugin):
    """Renders the schema with the services route added."""

    def render(
        self, request: Request[Any, Any, Any], schema: SchemaObject
    ) -> bytes:
        """Return the schema as JSON.

        :param request: the request for the schema.
        :param schema: the schema that litestar derived from its handlers.
        """
        return self.render_json(request, add_services(schema))


def add_services(schema: SchemaObject) -> SchemaObject:
    """Return a schema with the services route and its refusals added.

    :param schema: a schema without them.
    """
    _, problem_schemas = msgspec.json.schema_components(
        [ProblemDetails],
        ref_template=_SCHEMA_REF,
    )
    components = schema.get('components', {})
    schemas = {**components.get('schemas', {}), **problem_schemas}
    path = '/v1/services/{service}/{path}'
    return {
        **schema,
        'paths': {**schema.get('paths', {}), path: _services_path()},
        'components': {**components, 'schemas': schemas},
    }


def _services_path() -> SchemaObject:
    common_parameters = [
        _parameter('service', 'path', 'Name of the service.'),
        _parameter('path', 'path', 'Path at the target; may contain slashes.'),
        _parameter(CALLER_HEADER, 'header', 'Name of the caller.'),
        _parameter(KIND_HEADER, 'header', 'Kind of the request.'),
        _parameter(
            DEADLINE_HEADER,
            'header',
            'Time left in milliseconds; default: the longest of the kind.',
            required=False,
            json_type='integer',
        ),
        _parameter(
            KEY_HEADER,
            'header',
            'Ticket and own text; required for kinds that are not repeatable.',
            required=False,
        ),
    ]
    return {
        'parameters': common_parameters,
        **{method: _operation(method) for method in _METHODS},
    }


def _operation(method: str) -> SchemaObject:
    problem_content = {
        'schema': {'$ref': _SCHEMA_REF.format(name='ProblemDetails')}
    }
    operation: SchemaObject = {
        'operationId': f'forward_{method}',
        'summary': 'Forward a request to a target of a service.',
        'responses': {
            'default': {
                'description': 'The answer of the target, as it sent it.',
                'content': {'*/*': {}},
            },
            **{
                status: {
                    'description': 'A refusal, if x-cuminhoist-refusal is 1.',
                    'content': {PROBLEM_TYPE: problem_content},
                }
                for status in ('4XX', '5XX')
            },
        },
    }
    if method in {'post', 'put', 'patch', 'delete'}:
        operation['requestBody'] = {'content': {'*/*': {}}}
    return operation


def _parameter(
    name: str,
    location: str,
    description: str,
    *,
    required: bool = True,
    json_type: str = 'string',
) -> SchemaObject:
    return {
        'name': name,
        'in': location,
        'required': required,
        'description': description,
        'schema': {'type': json_type},
    }
