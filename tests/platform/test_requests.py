"""Tests of the platform's headers of requests and answers.

A wrong header loses the object or deadline of a request, or makes a request
that a target shed look like one that ran.
"""

import pytest

from cuminhoist.platform.requests import MAX_PAUSE_S, PlatformWire
from cuminhoist.steering.target_load import TargetLoad


def _scope(*headers, target=b'/a/b'):
    return {
        'method': 'POST',
        'headers': list(headers),
        'state': {'authority': b'', 'request_target': target},
    }


def test_request_is_decoded():
    """Guards against losing the identity, object or deadline of a request."""
    req = PlatformWire().decode_request(
        _scope(
            (b'host', b'shop.example:80'),
            (b'x-request-id', b'abc'),
            (b'x-deadline-ms', b'1200'),
            (b'cookie', b'z=1; X-Affinity-Key=17'),
            target=b'/a/b?q=%2F',
        ),
    )
    assert (req.host, req.request_id, req.key) == ('shop.example', 'abc', '17')
    assert req.left_s == 1.2
    assert req.request_target == b'/a/b?q=%2F'
    assert not req.has_body


def test_authority_of_the_target_goes_before_the_host_header():
    """Guards against the route of another host than the caller means."""
    scope = _scope((b'host', b'shop.example'), target=b'/a?q')
    scope['state']['authority'] = b'Other.example:80'
    req = PlatformWire().decode_request(scope)
    assert (req.host, req.path) == ('other.example', '/a')
    assert dict(req.headers)[b'host'] == b'Other.example:80'


def test_headers_of_one_connection_are_not_passed_on():
    """Guards against passing a caller's hop-by-hop headers to the target."""
    wire = PlatformWire()
    req = wire.decode_request(
        _scope(
            (b'host', b'h'),
            (b'x-request-id', b'abc'),
            (b'connection', b'close, x-odd, x-request-id'),
            (b'x-odd', b'1'),
            (b'x-kept', b'2'),
            (b'x-expect-instance', b'forged'),
            (b'content-length', b'3'),
        ),
    )
    head = wire.encode_attempt(req, 0.5, 'i-1')
    headers_by_name = dict(head.headers)
    assert b'x-odd' not in headers_by_name
    assert headers_by_name[b'x-kept'] == b'2'
    assert headers_by_name[b'x-request-id'] == b'abc'
    assert headers_by_name[b'x-expect-instance'] == b'i-1'
    assert headers_by_name[b'x-deadline-ms'] == b'500'
    assert headers_by_name[b'content-length'] == b'3'


def test_notes_of_a_target():
    """Guards against treating a shed request as one that ran."""
    wire = PlatformWire()
    shed = wire.read_metadata(
        503,
        [(b'x-not-executed', b'1'), (b'x-server-load', b'3,9,3')],
    )
    assert shed.not_run
    assert shed.load.has_free_slots is False
    declined = wire.read_metadata(
        503,
        [(b'x-not-executed', b'1'), (b'x-server-load', b'1,0,3')],
    )
    assert declined.load.has_free_slots is True
    assert wire.read_metadata(421, []).misdirected
    ran = wire.read_metadata(503, [(b'keep-alive', b'timeout=5')])
    assert not ran.not_run
    assert ran.idle_timeout_s == 5


def test_malformed_time_is_no_time():
    """Guards against a request that fails for an invalid optional header."""
    req = PlatformWire().decode_request(_scope((b'x-deadline-ms', b'soon')))
    assert req.left_s is None


@pytest.mark.parametrize(
    ('headers', 'closes_connection', 'target_leaving'),
    [
        ([], False, False),
        ([(b'connection', b'close')], True, False),
        ([(b'server-leaving', b'1')], False, True),
        ([(b'server-leaving', b'0')], False, False),
    ],
)
def test_leaving_target_is_not_a_closed_connection(
    headers, closes_connection, target_leaving
):
    """Guards against taking a target that closes a connection for leaving."""
    metadata = PlatformWire().read_metadata(200, headers)
    assert metadata.closes_connection is closes_connection
    assert metadata.target_leaving is target_leaving


@pytest.mark.parametrize(
    ('status', 'text', 'pause_s'),
    [
        (503, b'2', 2),
        (503, b'0.5', 0.5),
        (503, b'1.', 1),
        (503, b'1_0', 0),
        (503, b'1e1', 0),
        (503, b'', 0),
        (503, b'.', 0),
        (503, b'9' * 400, MAX_PAUSE_S),
        (503, b' 1 ', 1),
        (503, b'3600', MAX_PAUSE_S),
        (503, b'inf', 0),
        (503, b'0', 0),
        (503, b'-1', 0),
        (503, b'nan', 0),
        (503, b'soon', 0),
        (503, b'Fri, 04 Dec 2026 08:00:00 GMT', 0),
        (200, b'2', 0),
        (429, b'2', 0),
    ],
)
def test_pause_of_a_target_is_bounded(status, text, pause_s):
    """Guards against a target that is lost for ever by one odd header."""
    metadata = PlatformWire().read_metadata(status, [(b'retry-after', text)])
    assert metadata.pause_s == pause_s


@pytest.mark.parametrize(
    ('status', 'text', 'odd_pause'),
    [
        (503, b'2', ''),
        (503, b'30', ''),
        (503, b'3600', '3600'),
        (503, b'0', '0'),
        (503, b'-1', '-1'),
        (503, b'soon', 'soon'),
        (
            503,
            b'Fri, 04 Dec 2026 08:00:00 GMT',
            'Fri, 04 Dec 2026 08:00:00 GMT',
        ),
        (503, b'\xff' * 900, '\xff' * 40),
        (429, b'soon', ''),
    ],
)
def test_odd_pause_is_kept_for_the_log(status, text, odd_pause):
    """Guards against pauses that are ignored or bounded without a trace."""
    metadata = PlatformWire().read_metadata(status, [(b'retry-after', text)])
    assert metadata.odd_pause == odd_pause


@pytest.mark.parametrize(
    ('text', 'limit_per_s'),
    (
        (b'3', 3),
        (b' 4.9 ', 4.9),
        (b'0', 0),
        (b'', float('inf')),
        (b'-1', float('inf')),
        (b'nan', float('inf')),
        (b'1e3', float('inf')),
        (b'some', float('inf')),
    ),
)
def test_named_limit_is_read(text, limit_per_s):
    """Guards against limits that are ignored, and against text as a limit."""
    for status in (200, 503):
        metadata = PlatformWire().read_metadata(
            status, [(b'server-limit', text)]
        )
        assert metadata.limit_per_s == limit_per_s
    assert PlatformWire().read_metadata(200, []).limit_per_s == float('inf')


def test_load_with_a_speed():
    """Guards against dropping the load of targets that tell their speed."""
    metadata = PlatformWire().read_metadata(
        200, [(b'x-server-load', b'3,1,9,250')]
    )
    assert metadata.load == TargetLoad(3, 1, 9, 2.5)
    assert PlatformWire().read_metadata(200, []).load is None
    odd = PlatformWire().read_metadata(200, [(b'x-server-load', b'3,1,9,x')])
    assert odd.load is None


def test_key_is_replaced_by_the_workspace():
    """Guards against a target that sees the key or a forged workspace."""
    wire = PlatformWire()
    req = wire.decode_request(
        _scope(
            (b'authorization', b'Bearer secret'),
            (b'x-tenant', b'other'),
            (b'x-tenant', b'another'),
        )
    )
    assert req.api_key == 'secret'
    head = wire.encode_attempt(wire.identify(req, 'own'), 0.5, 'i-1')
    workspaces = [text for name, text in head.headers if name == b'x-tenant']
    assert workspaces == [b'own']
    assert b'authorization' not in dict(head.headers)


@pytest.mark.parametrize(
    'text',
    ['3,1', '3,1,9,0', '3,1,9,1,1', '-3,1,9', '3,1,9,-20', '3,1,9,1e9', ',,'],
)
def test_odd_load_is_kept_for_the_log(text):
    """Guards against loads read from a header of another form."""
    metadata = PlatformWire().read_metadata(
        200, [(b'x-server-load', text.encode())]
    )
    assert metadata.load is None
    assert metadata.odd_load == text


def test_proper_or_missing_load_is_not_logged():
    """Guards against lines about targets that send no load."""
    for headers in ([], [(b'x-server-load', b'3, 1, 9, 80')]):
        assert not PlatformWire().read_metadata(200, headers).odd_load


def test_deadline_with_an_underscore_is_none():
    """Guards against a number that only this language reads as one."""
    req = PlatformWire().decode_request(_scope((b'x-deadline-ms', b'1_0')))
    assert req.left_s is None
