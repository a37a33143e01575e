"""Tests of orders that arrive while a deployment starts for the first time.

They guard against an order that is acknowledged by fewer voters than the
deployment needs to lose disks, and against a deployment that takes none.
"""

import asyncio

import pytest

from cuminhoist.register.replica import START_GRACE_S

from .builders import EmulatedCluster, configuration

pytestmark = [pytest.mark.looptime]

#: Time within which control recovers after all machines are back, in seconds.
RECOVER_S = 15.0
#: Time for which the machines stay dark that lost their disks, in seconds.
DARK_S = 3.0
#: Time within which the first order is acknowledged, in seconds: traffic
#: starts 10 s after the machines.
FIRST_ACK_S = 10.0


async def _give_until_acked(cluster, order):
    """Give an order at the founders in turn; return who acknowledged it."""
    async with asyncio.timeout(FIRST_ACK_S):
        while True:
            for address in cluster.founders:
                replica = cluster.machines[address.host].replica
                state = await replica.submit(order)
                if state is not None and state.version >= order.version:
                    return address.host
                await asyncio.sleep(0.05)


@pytest.mark.parametrize('losses', [1, 2])
@pytest.mark.parametrize('seed', range(6))
async def test_disks_are_lost_after_the_first_order(tmp_path, seed, losses):
    """Guards against founders that acknowledge an order by themselves.

    Two of three founders were a quorum, and lost their disks right then.
    """
    cluster = EmulatedCluster(tmp_path, 2 * losses + 2, seed)
    cluster.tolerated_losses = losses
    for machine in cluster.machines.values():
        machine.start(first_start=True)
    first = await _give_until_acked(cluster, configuration(1))
    others = [one.host for one in cluster.founders if one.host != first]
    lost = [first, *others][:losses]
    for host in lost:
        await cluster.machines[host].wipe()
    await asyncio.sleep(DARK_S)
    for host in lost:
        cluster.machines[host].start(first_start=False)
    await asyncio.sleep(RECOVER_S)
    for machine in cluster.machines.values():
        state = await machine.replica.read()
        assert state is not None
        assert state.version == 1


@pytest.mark.parametrize('count', [3, 4])
async def test_deployment_that_is_too_small_for_its_losses(tmp_path, count):
    """Guards against orders that are refused for good.

    The settings ask for more losses than the instances can bear.
    """
    cluster = EmulatedCluster(tmp_path, count, 1)
    cluster.tolerated_losses = 2
    for machine in cluster.machines.values():
        machine.start(first_start=True)
    await _give_until_acked(cluster, configuration(1))
    for machine in cluster.machines.values():
        await machine.kill()
        machine.start(first_start=False)
    # A restart refuses nothing: the first start is over.
    await asyncio.sleep(START_GRACE_S / 4)
    for machine in cluster.machines.values():
        assert await machine.replica.submit(configuration(2)) is not None


@pytest.mark.parametrize('count', [1, 2])
async def test_deployment_of_fewer_instances_than_seeds(tmp_path, count):
    """Guards against a wait for instances that do not exist."""
    cluster = EmulatedCluster(tmp_path, count, 1)
    cluster.tolerated_losses = 2
    for machine in cluster.machines.values():
        machine.start(first_start=True)
    replica = cluster.machines[cluster.hosts[0]].replica
    assert await replica.submit(configuration(1)) is not None
