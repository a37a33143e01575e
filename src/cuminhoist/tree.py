"""Which instances feed which others with the configuration."""

import functools
from collections.abc import Callable, Iterable

from .rendezvous import hash64
from .settings import Instance, Role, Topology

#: Children that an instance feeds while all its siblings are live.
MAX_CHILDREN = 8
#: Two relays keep a domain fed while one of them is replaced.
RELAYS = 2
#: Fallbacks of one kind, so that a list of parents stays short.
FALLBACKS = 2


def layers_of(names: tuple[str, ...], relays: int) -> list[tuple[str, ...]]:
    """Cut the ranked members of a domain into layers of the tree.

    :param names: members, the best rank first.
    :param relays: size of the first layer.
    """
    layers: list[tuple[str, ...]] = []
    start, size = 0, relays
    while start < len(names):
        layers.append(names[start : start + size])
        start, size = start + size, size * MAX_CHILDREN
    return layers


def assign(
    children: Iterable[str],
    ranked: Callable[[str], list[str]],
) -> dict[str, str]:
    """Give each child its best parent that has room.

    Without room anywhere, the least loaded parent takes the child.

    :param children: names of the children, in a fixed order.
    :param ranked: returns the parents of a child, the best first.
    """
    load: dict[str, int] = {}
    chosen: dict[str, str] = {}
    for child in children:
        parents = ranked(child)
        if not parents:
            continue
        free = [name for name in parents if load.get(name, 0) < MAX_CHILDREN]
        parent = free[0] if free else min(parents, key=load.__getitem__)
        load[parent] = load.get(parent, 0) + 1
        chosen[child] = parent
    return chosen


class DeliveryTree:
    """Computes parents from the topology and the live instances.

    Control replicas are level 0, the relays of a domain level 1, and the
    layers of the domain below them follow. A parent always has a lower
    level than its child, so there are no cycles.

    :param topology: the deployment.
    """

    def __init__(self, topology: Topology) -> None:
        self._regions = {dom.name: dom.region for dom in topology.domains}
        self._by_name: dict[str, Instance] = {
            entry.name: entry for entry in topology.instances
        }
        self._controls = topology.control_instances()
        self._members: dict[str, list[str]] = {}
        for entry in topology.instances:
            if Role.control not in entry.roles:
                self._members.setdefault(entry.domain, []).append(entry.name)
        for domain, names in self._members.items():
            names.sort(key=functools.partial(hash64, domain))

    def parents(self, own: str, live: frozenset[str]) -> tuple[str, ...]:
        """Return whom an instance polls, the preferred parent first.

        :param own: name of the instance.
        :param live: names of the live instances.
        """
        level = self.level(own, live)
        controls = [name for name in self._near(own, live) if name != own]
        if level == 0:
            return tuple(controls)
        layers = self._layers(own, live)
        if level == 1:
            relay = self._relay_parents(live | {own}).get(own)
            return _unique(relay, controls[: FALLBACKS + 1])
        above = layers[level - 2]
        siblings = layers[level - 1]
        ranked = _ranker(above)
        preferred = assign(siblings, ranked).get(own)
        upper = [name for layer in layers[: level - 2] for name in layer]
        return _unique(
            preferred,
            ranked(own)[: FALLBACKS + 1],
            upper[:FALLBACKS],
            controls[:FALLBACKS],
        )

    def level(self, own: str, live: frozenset[str]) -> int:
        """Return the level of an instance; control replicas have 0.

        :param own: name of the instance.
        :param live: names of the live instances.
        """
        if Role.control in self._by_name[own].roles:
            return 0
        for number, layer in enumerate(self._layers(own, live), start=1):
            if own in layer:
                return number
        return 0

    def domain_peers(self, own: str) -> tuple[str, ...]:
        """Return the other instances of an instance's failure domain.

        :param own: name of the instance.
        """
        domain = self._by_name[own].domain
        return tuple(
            entry.name
            for entry in self._by_name.values()
            if entry.domain == domain and entry.name != own
        )

    def _layers(self, own: str, live: frozenset[str]) -> list[tuple[str, ...]]:
        domain = self._by_name[own].domain
        members = self._live_members(domain, live | {own})
        return layers_of(members, self._relay_count())

    def _live_members(
        self, domain: str, live: frozenset[str]
    ) -> tuple[str, ...]:
        names = self._members.get(domain, [])
        return tuple(name for name in names if name in live)

    def _relay_count(self) -> int:
        room = len(self._controls) * MAX_CHILDREN
        return RELAYS if room >= RELAYS * len(self._members) else 1

    def _relay_parents(self, live: frozenset[str]) -> dict[str, str]:
        count = self._relay_count()
        relays = [
            name
            for domain in sorted(self._members)
            for name in self._live_members(domain, live)[:count]
        ]
        return assign(relays, lambda name: self._near(name, live))

    def _near(self, own: str, live: frozenset[str]) -> list[str]:
        # The list of live instances lags; with no replica on it, all count.
        found = [ctl for ctl in self._controls if ctl.name in live]
        near = found or list(self._controls)
        near.sort(key=lambda ctl: self._distance(own, ctl))
        return [ctl.name for ctl in near]

    def _distance(self, own: str, other: Instance) -> tuple[int, int]:
        domain = self._by_name[own].domain
        distance = 2
        if other.domain == domain:
            distance = 0
        elif self._regions[other.domain] == self._regions[domain]:
            distance = 1
        return distance, hash64(own, other.name)


def _ranker(parents: tuple[str, ...]) -> Callable[[str], list[str]]:
    def ranked(child: str) -> list[str]:
        return sorted(parents, key=lambda name: hash64(child, name))

    return ranked


def _unique(
    preferred: str | None,
    *fallbacks: list[str],
) -> tuple[str, ...]:
    names = [] if preferred is None else [preferred]
    for group in fallbacks:
        names.extend(group)
    return tuple(dict.fromkeys(names))
