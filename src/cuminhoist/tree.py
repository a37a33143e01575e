"""Computes the tree over which instances receive the configuration.

Control replicas are the roots. In each failure domain, a few relays poll them,
and the other instances poll the layer above their own, so that no instance
has to answer more than eight children while all instances are live. Ranks come
from rendezvous hashing, so that the loss of one instance changes the parents of
few others.
"""

import functools
from collections.abc import Callable, Iterable

from .rendezvous import hash64
from .settings import Instance, Role, Topology

#: Most children of an instance while all instances of its layer are live.
MAX_CHILDREN = 8
#: With two relays, a domain still receives changes while one is replaced.
RELAYS_PER_DOMAIN = 2
#: Fallback parents taken from each group; keeps the list of parents short.
FALLBACK_PARENTS = 2


def split_into_layers(
    names: tuple[str, ...], relays: int
) -> list[tuple[str, ...]]:
    """Split the members of a domain into the layers of its tree.

    Each layer is eight times as large as the layer above it.

    :param names: members, ordered by rank, the highest first.
    :param relays: number of relays, which form the first layer.
    """
    layers: list[tuple[str, ...]] = []
    start, size = 0, relays
    while start < len(names):
        layers.append(names[start : start + size])
        start, size = start + size, size * MAX_CHILDREN
    return layers


def assign_parents(
    children: Iterable[str],
    ranked: Callable[[str], list[str]],
) -> dict[str, str]:
    """Assign each child its highest ranked parent that has room.

    If no parent has room, the child goes to the parent with fewest children.

    :param children: names of the children, in a fixed order, as the result
        depends on it.
    :param ranked: returns the possible parents of a child, best first.
    """
    child_counts: dict[str, int] = {}
    parent_of: dict[str, str] = {}
    for child in children:
        parents = ranked(child)
        if not parents:
            continue
        with_room = [
            name for name in parents if child_counts.get(name, 0) < MAX_CHILDREN
        ]
        parent = (
            with_room[0]
            if with_room
            else min(parents, key=child_counts.__getitem__)
        )
        child_counts[parent] = child_counts.get(parent, 0) + 1
        parent_of[child] = parent
    return parent_of


class DeliveryTree:
    """Computes parents from the topology and the list of live instances.

    Control replicas have level 0, the relays of a domain level 1, and the
    layers below the relays the levels from 2 on. A parent always has a lower
    level than its child, so there are no cycles.

    :param topology: the deployment.
    """

    def __init__(self, topology: Topology) -> None:
        self._regions = {
            domain.name: domain.region for domain in topology.domains
        }
        self._by_name: dict[str, Instance] = {
            entry.name: entry for entry in topology.instances
        }
        self._controls = topology.control_instances()
        self._members_by_domain: dict[str, list[str]] = {}
        for entry in topology.instances:
            if Role.control not in entry.roles:
                self._members_by_domain.setdefault(entry.domain, []).append(
                    entry.name
                )
        for domain, names in self._members_by_domain.items():
            names.sort(key=functools.partial(hash64, domain))

    def parents(self, own: str, live: frozenset[str]) -> tuple[str, ...]:
        """Return the parents of an instance, the preferred one first.

        :param own: name of the instance.
        :param live: names of the live instances.
        """
        level = self.level(own, live)
        controls = [
            name
            for name in self._controls_by_distance(own, live)
            if name != own
        ]
        if level == 0:
            return tuple(controls)
        layers = self._layers(own, live)
        if level == 1:
            preferred_control = self._relay_parents(live | {own}).get(own)
            return _without_duplicates(
                preferred_control, controls[: FALLBACK_PARENTS + 1]
            )
        parent_layer = layers[level - 2]
        layer_members = layers[level - 1]
        ranked = _ranking(parent_layer)
        preferred = assign_parents(layer_members, ranked).get(own)
        higher_layers = [
            name for layer in layers[: level - 2] for name in layer
        ]
        return _without_duplicates(
            preferred,
            ranked(own)[: FALLBACK_PARENTS + 1],
            higher_layers[:FALLBACK_PARENTS],
            controls[:FALLBACK_PARENTS],
        )

    def level(self, own: str, live: frozenset[str]) -> int:
        """Return the level of an instance; control replicas have 0.

        :param own: name of the instance.
        :param live: names of the live instances.
        """
        if Role.control in self._by_name[own].roles:
            return 0
        for level, layer in enumerate(self._layers(own, live), start=1):
            if own in layer:
                return level
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
        return split_into_layers(members, self._relay_count())

    def _live_members(
        self, domain: str, live: frozenset[str]
    ) -> tuple[str, ...]:
        names = self._members_by_domain.get(domain, [])
        return tuple(name for name in names if name in live)

    def _relay_count(self) -> int:
        capacity = len(self._controls) * MAX_CHILDREN
        return (
            RELAYS_PER_DOMAIN
            if capacity >= RELAYS_PER_DOMAIN * len(self._members_by_domain)
            else 1
        )

    def _relay_parents(self, live: frozenset[str]) -> dict[str, str]:
        count = self._relay_count()
        relays = [
            name
            for domain in sorted(self._members_by_domain)
            for name in self._live_members(domain, live)[:count]
        ]
        return assign_parents(
            relays, lambda name: self._controls_by_distance(name, live)
        )

    def _controls_by_distance(
        self, own: str, live: frozenset[str]
    ) -> list[str]:
        # The list of live instances is delayed. If it has no control replica,
        # all of them are used.
        live_controls = [
            control for control in self._controls if control.name in live
        ]
        controls = live_controls or list(self._controls)
        controls.sort(key=lambda control: self._distance(own, control))
        return [control.name for control in controls]

    def _distance(self, own: str, other: Instance) -> tuple[int, int]:
        domain = self._by_name[own].domain
        distance = 2
        if other.domain == domain:
            distance = 0
        elif self._regions[other.domain] == self._regions[domain]:
            distance = 1
        return distance, hash64(own, other.name)


def _ranking(parents: tuple[str, ...]) -> Callable[[str], list[str]]:
    def ranked(child: str) -> list[str]:
        return sorted(parents, key=lambda name: hash64(child, name))

    return ranked


def _without_duplicates(
    preferred: str | None,
    *fallbacks: list[str],
) -> tuple[str, ...]:
    names = [] if preferred is None else [preferred]
    for group in fallbacks:
        names.extend(group)
    return tuple(dict.fromkeys(names))
