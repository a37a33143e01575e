"""Tests of orders that are decided late.

They guard against an order that is applied after a newer one for the same
failure domain, which was acknowledged meanwhile.
"""

import asyncio

import pytest

from cuminhoist.register.declared_state import DrainDomain

from .builders import EmulatedCluster

pytestmark = pytest.mark.looptime

START = DrainDomain(domain='a', drained=True)
END = DrainDomain(domain='a', drained=False)


async def _check_drained(cluster, domains):
    await asyncio.sleep(20)
    for machine in cluster.machines.values():
        assert (await machine.replica.read()).drained == domains


async def _order_that_hangs(tmp_path):
    """Return a cluster in which the end of a drain has not been decided.

    The instance that received it can't reach the others. There is no drain
    any more after the first order, or the drain is still in force.
    """
    cluster = EmulatedCluster(tmp_path, 6, 1)
    await cluster.form()
    await asyncio.sleep(5)
    replicas = [machine.replica for machine in cluster.machines.values()]
    assert await replicas[0].submit(START)
    await asyncio.sleep(1)
    cluster.isolate(cluster.hosts[5])
    late = asyncio.create_task(replicas[5].submit(END))
    await asyncio.sleep(1)
    return cluster, replicas, late


async def test_order_is_not_applied_after_newer_ones(tmp_path):
    """Guards against an end of a drain that ends the next drain as well."""
    cluster, replicas, late = await _order_that_hangs(tmp_path)
    assert await replicas[1].submit(END)
    assert await replicas[1].submit(START)
    cluster.cut_links.clear()
    await late
    await _check_drained(cluster, {'a'})


async def test_order_is_not_applied_after_one_without_effect(tmp_path):
    """Guards against an order that was given up before the drain's renewal.

    The drain was still in force, so that the newer order changed nothing.
    """
    cluster, replicas, late = await _order_that_hangs(tmp_path)
    assert await replicas[1].submit(START)
    cluster.cut_links.clear()
    await late
    await _check_drained(cluster, {'a'})


async def test_orders_for_other_domains_are_applied(tmp_path):
    """Guards against an order that is lost because of another domain."""
    cluster, replicas, late = await _order_that_hangs(tmp_path)
    other = DrainDomain(domain='b', drained=True)
    assert await replicas[1].submit(other)
    cluster.cut_links.clear()
    await late
    await _check_drained(cluster, {'b'})
