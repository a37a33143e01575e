"""Tests of deeply nested content from outside.

They guard against RecursionError, which is no decoding error, where an error
of decoding is a value; it ends a task that polls or probes.
"""

import httpx
import msgspec
import pytest
from returns.result import Failure

from cuminhoist.config_model import Change
from cuminhoist.exceptions import FieldError
from cuminhoist.instance_list import PlatformPoller
from cuminhoist.operatorclient import _decode
from cuminhoist.probes import HttpxProbeClient
from cuminhoist.queries import load
from cuminhoist.settings import Settings, Target, Topology, load_struct

DEEP = b'{"x":' + b'[' * 50_000 + b']' * 50_000 + b'}'


def _transport():
    return httpx.MockTransport(lambda req: httpx.Response(200, content=DEEP))


async def test_platform_list():
    """Guards against the end of the task that polls the platform's list."""
    poller = PlatformPoller('http://list.example', None)
    async with httpx.AsyncClient(transport=_transport()) as client:
        assert isinstance(await poller._poll(client), Failure)


async def test_load_report_of_a_target():
    """Guards against the end of the task that probes targets."""
    client = HttpxProbeClient()
    client._http = httpx.AsyncClient(transport=_transport())
    target = Target('t', 'catalogue', 'a', '10.0.0.1', 80, 1)
    assert (await client.probe(target, 1)).healthy
    await client.close()


@pytest.mark.parametrize('struct_type', [Settings, Topology])
def test_files(tmp_path, struct_type):
    """Guards against an error in place of a message on a file."""
    path = tmp_path / 'file.json'
    path.write_bytes(DEEP)
    assert isinstance(load_struct(path, struct_type).failure(), FieldError)
    assert isinstance(load(str(path), Change).failure(), FieldError)


def test_answer_to_an_operator():
    """Guards against a stack trace in place of an error message."""
    req = httpx.Request('GET', 'http://list.example')
    answer = httpx.Response(200, content=DEEP, request=req)
    assert isinstance(_decode(answer, msgspec.Raw), Failure)
