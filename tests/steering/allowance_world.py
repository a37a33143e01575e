"""A deterministic world of regions that share the allowance of a workspace."""

import bisect
import heapq
import itertools
import random

from cuminhoist.steering.allowance_shares import WHOLE
from cuminhoist.steering.allowance_sizes import (
    Allowance,
    AllowanceBounds,
    AllowanceSizes,
)
from cuminhoist.steering.allowances import Allowances
from cuminhoist.steering.local_allowances import LocalAllowances, RegionShares
from cuminhoist.steering.recent import RecentNames
from cuminhoist.steering.region_allowances import RegionAllowances

ACME = 'acme'
REGIONS = ('north', 'south', 'west')
DELAY_S = 0.035
BOUNDS = AllowanceBounds()
SIZES = AllowanceSizes(len(REGIONS), BOUNDS)


class Entry:
    """An entry instance; its dispatcher decides while it is linked."""

    def __init__(self, seed):
        self.buckets = Allowances(random.Random(seed))
        self.local = LocalAllowances(SIZES, self.buckets)
        self.linked = True
        self.decided_remotely = True
        self.in_contact = True
        self.frozen = False


class Region:
    """The dispatcher of a region and the region's entry instances."""

    def __init__(self, name, entry_count):
        self.name = name
        self.entries = [Entry(number) for number in range(entry_count)]
        self.names = RecentNames(BOUNDS.absent_s)
        self.frozen = False
        self.start_dispatcher()

    def start_dispatcher(self):
        """Replace the dispatcher by one that knows nothing."""
        self.buckets = Allowances(random.Random(1))
        self.allowances = RegionAllowances(
            self.name, REGIONS, SIZES, self.buckets
        )


class World:
    """Regions, the messages between them, and what was decided."""

    def __init__(self, rate_per_s, burst, entry_count=4):
        self.now = 0.0
        self.limit = Allowance(rate_per_s, burst)
        self.regions = {name: Region(name, entry_count) for name in REGIONS}
        self.cut = set()
        self.admitted = []
        self.refused = []
        self._order = itertools.count()
        self._events = []
        self.at(0, self._tick)
        for name in REGIONS:
            self.sync(name)

    def at(self, when, action, *args):
        """Run an action at a time, in seconds."""
        heapq.heappush(self._events, (when, next(self._order), action, args))

    def run(self, end):
        """Run all actions up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, action, args = heapq.heappop(self._events)
            action(*args)
        self.now = end

    def sync(self, name):
        """Exchange all transfers with the other regions, as new links do."""
        for other in REGIONS:
            if other != name:
                for source, receiver in ((name, other), (other, name)):
                    self._send(source, receiver, 'hear_all')

    def restart_dispatcher(self, name):
        """Replace the dispatcher of a region by a cold one.

        Its links open after a round trip, when what the former dispatcher
        sent has arrived.
        """
        self.regions[name].start_dispatcher()
        self._tick_region(self.regions[name])
        self.at(self.now + 2 * DELAY_S, self.sync, name)

    def join(self, name):
        """Add an entry instance, which has read the configuration."""
        entry = Entry(len(self.regions[name].entries))
        entry.local.apply_limits({ACME: self.limit}, self.now)
        self.regions[name].entries.append(entry)

    def partition(self, name):
        """Cut a region off from the others."""
        self.cut |= {
            frozenset((name, other)) for other in REGIONS if other != name
        }

    def heal(self):
        """Connect all regions."""
        self.cut = set()
        for name in REGIONS:
            self.sync(name)

    def request(self, name, number):
        """Let a request arrive at an entry instance of a region."""
        region = self.regions[name]
        entry = region.entries[number % len(region.entries)]
        if entry.frozen:
            return
        is_remote = entry.linked and not region.frozen
        if not is_remote and entry.decided_remotely:
            entry.buckets.restart(self.now)
        entry.decided_remotely = is_remote
        buckets = region.buckets if is_remote else entry.buckets
        is_admitted = buckets.admit(ACME, self.now) is None
        (self.admitted if is_admitted else self.refused).append(self.now)
        request = (
            region.allowances.request(ACME, self.now) if is_remote else None
        )
        if request is not None:
            for other in REGIONS:
                self._send(name, other, 'answer', request)

    def send(self, times, choose):
        """Let requests arrive.

        :param choose: returns the region of a request by its time.
        """
        for number, when in enumerate(times):
            self.at(when, self.request, choose(when), number)

    def worst_excess(self):
        """Return by how much the worst window exceeds the bound."""
        window_s = BOUNDS.window_s
        limit = self.limit.rate_per_s * window_s + self.limit.burst
        bound = limit * (1 + BOUNDS.over) + BOUNDS.slack
        return max(
            bisect.bisect_left(self.admitted, start + window_s) - index - bound
            for index, start in enumerate(self.admitted)
        )

    def _send(self, source, receiver, kind, content=None):
        if frozenset((source, receiver)) not in self.cut and (
            source != receiver
        ):
            arrives = self.now + DELAY_S
            if kind == 'hear_all':
                content = self.regions[source].allowances.ledger.in_force()
            self.at(arrives, self._receive, source, receiver, kind, content)

    def _receive(self, source, receiver, kind, content):
        if self.regions[receiver].frozen:
            again = self.now + DELAY_S
            self.at(again, self._receive, source, receiver, kind, content)
            return
        allowances = self.regions[receiver].allowances
        if kind == 'hear_all':
            allowances.hear_all(source, content, self.now, knows_transfers=True)
        elif kind == 'transfer':
            allowances.apply((content,), self.now)
        else:
            transfer = allowances.answer(content, self.now)
            if transfer is not None:
                for other in REGIONS:
                    self._send(receiver, other, 'transfer', transfer)

    def _tick(self):
        for region in self.regions.values():
            if not region.frozen:
                self._tick_region(region)
            for entry in region.entries:
                self._tick_entry(region, entry)
        self.at(self.now + 0.1, self._tick)

    def _tick_region(self, region):
        linked = sum(entry.linked for entry in region.entries)
        in_contact = {
            number
            for number, entry in enumerate(region.entries)
            if entry.in_contact
        }
        total = region.names.record(in_contact, self.now)
        region.allowances.keep(self.now, 0.1, decides=True)
        region.allowances.apply_limits(
            {ACME: self.limit}, linked / max(total, 1), self.now
        )

    def _tick_entry(self, region, entry):
        if entry.frozen:
            return
        parts = region.allowances.ledger.parts(ACME, region.name)
        if entry.in_contact:
            entry.local.apply_shares(
                RegionShares({ACME: parts}, WHOLE // len(REGIONS)), self.now
            )
            entry.local.apply_limits({ACME: self.limit}, self.now)
        entry.local.keep(
            len(region.entries), self.now, in_contact=entry.in_contact
        )


def arrivals(rate_per_s, start, end, seed=1):
    """Return the times of requests that arrive independently."""
    rng = random.Random(seed)
    times = [start + rng.expovariate(rate_per_s)]
    while times[-1] < end:
        times.append(times[-1] + rng.expovariate(rate_per_s))
    return times[:-1]


def conforming(times, rate_per_s, burst):
    """Return the requests that one bucket for all regions would admit."""
    buckets = Allowances(random.Random(1))
    buckets.set_sizes(
        {
            ACME: SIZES.entry_size(
                Allowance(rate_per_s, burst), 1, 1, cut_off=False
            )
        },
        times[0] - 1000,
    )
    return [when for when in times if buckets.admit(ACME, when) is None]
