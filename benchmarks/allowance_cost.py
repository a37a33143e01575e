"""Measures what the allowances of 10,000 workspaces cost a dispatcher.

Prints JSON. Run with ``PYTHONPATH=src python -m benchmarks.allowance_cost``.
"""

import json
import time
from collections.abc import Callable

import msgspec

from cuminhoist.codec import Codec
from cuminhoist.fleet.allowance_report import AllowanceReport
from cuminhoist.fleet.control_metrics import ControlMetrics
from cuminhoist.fleet.messages import AllowanceNotice, AllowanceShares
from cuminhoist.steering.allowance_shares import ShareRequest, ShareTransfer
from cuminhoist.steering.allowance_sizes import Allowance, AllowanceSizes
from cuminhoist.steering.allowances import Allowances
from cuminhoist.steering.local_allowances import RegionShares
from cuminhoist.steering.region_allowances import RegionAllowances

REGIONS = ('north', 'south', 'west')
WORKSPACE_COUNT = 10_000
#: Workspaces of a message whose size is printed.
SENT_COUNT = 1000
ADMITS = 100_000
HEARTBEAT_S = 0.5


def _name(number: int) -> str:
    return f'workspace-{number:05d}'


def _least_s(action: Callable[[], None], repeats: int = 5) -> float:
    """Return the least processor time of an action, in seconds."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        action()
        times.append(time.process_time() - started)
    return min(times)


class _Region:
    """A dispatcher's allowances, filled."""

    def __init__(self) -> None:
        self.buckets = Allowances()
        self.allowances = RegionAllowances(
            'north', REGIONS, AllowanceSizes(len(REGIONS)), self.buckets
        )
        for region in REGIONS:
            self.allowances.hear_all(region, (), 0, knows_transfers=True)
        self.limits = {
            _name(number): Allowance(100, 50)
            for number in range(WORKSPACE_COUNT)
        }
        self.allowances.apply_limits(self.limits, 1, 0)
        self.report = AllowanceReport(
            self.buckets, self.allowances, ControlMetrics()
        )
        self.now = float(60)

    def admit_limited(self) -> None:
        """Admit or refuse a request of each workspace in turn."""
        names = [_name(number) for number in range(WORKSPACE_COUNT)]
        for _ in range(ADMITS // WORKSPACE_COUNT):
            self.now += 0.02
            for name in names:
                self.buckets.admit(name, self.now)
                self.allowances.request(name, self.now)

    def admit_unlimited(self) -> None:
        """Admit requests of a workspace without a limit."""
        for _ in range(ADMITS):
            self.buckets.admit('unlimited', self.now)
            self.allowances.request('unlimited', self.now)

    def heartbeat(self) -> None:
        """Do what the dispatcher does twice a second."""
        self.now += HEARTBEAT_S
        self.allowances.keep(self.now, HEARTBEAT_S, decides=True)
        self.allowances.apply_limits(dict(self.limits), 1, self.now)
        self.report.record(self.now)

    def replacement_heartbeat(self) -> None:
        """Do what the replacement of the dispatcher does twice a second."""
        self.now += HEARTBEAT_S
        self.allowances.keep(self.now, HEARTBEAT_S, decides=False)
        self.allowances.apply_limits(dict(self.limits), 1, self.now)


def _message_bytes() -> dict[str, int]:
    codec = Codec('', 'control-a-1')
    names = [_name(number) for number in range(SENT_COUNT)]
    transfers = tuple(
        ShareTransfer(name, 'north', 'south', 123_456, 120_000)
        for name in names
    )
    request = ShareRequest(names[0], 'north', 123.45, 9240, 18_000)
    shares = RegionShares(dict.fromkeys(names, 12_345), 9240)
    messages = {
        'one request': AllowanceNotice(requests=(request,)),
        'one transfer': AllowanceNotice(
            transfers=(msgspec.structs.replace(transfers[0], tokens=12.5),)
        ),
        f'{SENT_COUNT} transfers on a new link': AllowanceNotice(
            transfers=transfers
        ),
        f'{SENT_COUNT} shares to a new subscriber': AllowanceShares(
            shares=shares
        ),
    }
    return {
        f'{name}, bytes': len(codec.encode(msg))
        for name, msg in messages.items()
    }


def main() -> None:
    """Measure and print the figures as JSON."""
    region = _Region()
    admit_us = 1e6 / ADMITS
    figures: dict[str, float] = {
        'admit with a limit, us': round(
            _least_s(region.admit_limited) * admit_us, 2
        ),
        'admit without a limit, us': round(
            _least_s(region.admit_unlimited) * admit_us, 2
        ),
        'heartbeat, ms': round(_least_s(region.heartbeat) * 1e3, 1),
        'heartbeat of a replacement, ms': round(
            _least_s(region.replacement_heartbeat) * 1e3, 1
        ),
    }
    print(json.dumps({**figures, **_message_bytes()}))


if __name__ == '__main__':
    main()
