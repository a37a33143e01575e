"""Tests of the counts of sent bytes.

They guard against traffic between regions that no metric explains.
"""

import msgspec
from prometheus_client import CollectorRegistry

from cuminhoist.fleet.link_meter import PrometheusMeter
from cuminhoist.fleet.peer import Peer

from .builders import RecordingLink, hello


async def test_bytes_are_counted_by_message_and_distance():
    """Guards against bytes counted for the wrong distance."""
    registry = CollectorRegistry()
    meter = PrometheusMeter('south-a', 'south', registry)
    link = RecordingLink()
    for peer_hello in (hello('e0'), hello('e1', domain='south-b')):
        meter.count('View', Peer(peer_hello, link), 10)
    meter.count('Hello', None, 5)
    north_hello = msgspec.structs.replace(
        hello('c1', control=True), region='north'
    )
    north = Peer(north_hello, link)
    meter.count('View', north, 7)
    counts = {
        distance: registry.get_sample_value(
            'cuminhoist_link_bytes_total',
            {'message': 'View', 'distance': distance},
        )
        for distance in ('domain', 'other-domain', 'other-region')
    }
    assert counts == {'domain': 10, 'other-domain': 10, 'other-region': 7}
