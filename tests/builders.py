"""Topologies, lists, settings and a clock that tests of many parts share."""

import asyncio
import pathlib

from cuminhoist.clock import Clock
from cuminhoist.config_model import (
    Allowance,
    Allowances,
    Caller,
    Change,
    Plan,
    Plans,
)
from cuminhoist.settings import Settings, Topology, load_struct
from demo.deployment import free_ports, on_free_ports

__all__ = ('free_ports', 'on_free_ports')

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
CLUSTER_KEY = 'test-key'


def example_topology(deployment: str = 'porth-data') -> Topology:
    """Return the topology of an example deployment, as in its file."""
    path = EXAMPLES / deployment / 'topology.json'
    return load_struct(path, Topology).unwrap()


def settings_of(
    topology: Topology,
    name: str,
    data_folder: str = '',
) -> Settings:
    """Return the settings of an instance, with the key of the tests."""
    return Settings.from_instance(
        topology.instance(name),
        'topology.json',
        CLUSTER_KEY,
        data_folder,
    )


def example_plans(deployment: str = 'porth-data') -> Plans:
    """Return the plans of an example deployment."""
    return load_struct(EXAMPLES / deployment / 'plans.json', Plans).unwrap()


def example_allowances(deployment: str = 'porth-data') -> Allowances:
    """Return the allowances of an example deployment."""
    path = EXAMPLES / deployment / 'allowances.json'
    return load_struct(path, Allowances).unwrap()


def small_plans(weight: float = 1) -> Plans:
    """Return one plan with one caller."""
    return Plans(
        plans=(Plan(name='gold', weight=weight),),
        callers=(Caller(name='acme', plan='gold'),),
    )


def small_allowances(rate_per_s: float = 100) -> Allowances:
    """Return one allowance, of the gold plan for the catalogue."""
    return Allowances(
        allowances=(
            Allowance(
                plan='gold',
                service='catalogue',
                rate_per_s=rate_per_s,
            ),
        ),
    )


def plans_change(change_id: str, base: int, weight: float = 1) -> Change:
    """Return a change that replaces the plans of a base version."""
    return Change(
        change_id=change_id,
        base_version=base,
        plans=small_plans(weight),
    )


class LoopClock(Clock):
    """Clock of the running event loop, whose time looptime simulates.

    :param offset_s: seconds added to the time of the loop.
    """

    def __init__(self, offset_s: float = 0) -> None:
        self._offset_s = offset_s

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return asyncio.get_running_loop().time() + self._offset_s

    def wall(self) -> float:
        """Return the monotonic time in place of Unix time, in seconds."""
        return self.now()
