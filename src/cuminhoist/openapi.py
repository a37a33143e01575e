"""Description of the HTTP interface for callers as OpenAPI."""

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

#: The interface as a whole, not one release of the program.
API_VERSION = '1'
_SCHEMAS = '#/components/schemas/{name}'
_METHODS = ('get', 'head', 'post', 'put', 'patch', 'delete', 'options')

Node = dict[str, Any]


def openapi_config() -> OpenAPIConfig:
    """Return the configuration that serves ``/v1/openapi.json``."""
    return OpenAPIConfig(
        title='cuminhoist',
        version=API_VERSION,
        path='/v1',
        render_plugins=[CallersSchema()],
    )


class CallersSchema(JsonRenderPlugin):
    """Adds what litestar cannot derive: the mount of the services."""

    def render(self, request: Request[Any, Any, Any], schema: Node) -> bytes:
        """Return the schema as JSON.

        :param request: the request for it.
        :param schema: what litestar derived from its own handlers.
        """
        return self.render_json(request, with_services(schema))


def with_services(schema: Node) -> Node:
    """Return a schema with the services route and the refusals.

    :param schema: a schema without them.
    """
    _, components = msgspec.json.schema_components(
        [ProblemDetails],
        ref_template=_SCHEMAS,
    )
    own = schema.get('components', {})
    schemas = {**own.get('schemas', {}), **components}
    path = '/v1/services/{service}/{path}'
    return {
        **schema,
        'paths': {**schema.get('paths', {}), path: _services_path()},
        'components': {**own, 'schemas': schemas},
    }


def _services_path() -> Node:
    listed = [
        _parameter('service', 'path', 'Name of the service.'),
        _parameter('path', 'path', 'Path at the target; may hold slashes.'),
        _parameter(CALLER_HEADER, 'header', 'Name of the caller.'),
        _parameter(KIND_HEADER, 'header', 'Kind of the request.'),
        _parameter(
            DEADLINE_HEADER,
            'header',
            'Time left in milliseconds; the longest of the kind if missing.',
            required=False,
            kind='integer',
        ),
        _parameter(
            KEY_HEADER,
            'header',
            'Ticket and own text; needed for kinds that may not be repeated.',
            required=False,
        ),
    ]
    return {
        'parameters': listed,
        **{method: _operation(method) for method in _METHODS},
    }


def _operation(method: str) -> Node:
    problem = {'schema': {'$ref': _SCHEMAS.format(name='ProblemDetails')}}
    operation: Node = {
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
                    'content': {PROBLEM_TYPE: problem},
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
    place: str,
    text: str,
    *,
    required: bool = True,
    kind: str = 'string',
) -> Node:
    return {
        'name': name,
        'in': place,
        'required': required,
        'description': text,
        'schema': {'type': kind},
    }
