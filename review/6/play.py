"""Lost voters are not replaced while configs come in quick succession."""

import asyncio
import contextlib
import json
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'common-2'))

import deployment as common  # noqa: E402
from deployment import (  # noqa: E402
    BOUNDS,
    OPERATORS_PORT,
    PEERS_PORT,
    CannotRun,
    Deployment,
    Machine,
    Record,
    call,
    configuration,
)

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
#: Without orders (ORDERS=0) the same losses are borne.
ORDERS = os.environ.get('ORDERS', '1') != '0'
#: Port behind the proxy that delays the links between control instances.
PEERS_LISTEN_PORT = 7541
#: One way between regions, in seconds, as on porth-data.
DELAY_S = 0.035
#: A config_storm of the site file: time between two changes, and its length, in
#: seconds.
GAP_S = 0.06
STORM_S = 1.5
#: Time between two storms, in seconds.
PAUSE_S = 0.25
#: Traffic starts this long after the machines, in seconds.
LEAD_S = 10.0
DARK_S = 3.0
READ_BACK_S = 12.0


class DelayedMachine(Machine):
    """A control instance whose links are as long as between regions."""

    def _settings(self, bootstrap):
        settings = super()._settings(bootstrap)
        if self.is_control:
            settings['peers_listen'] = f'{self.host}:{PEERS_LISTEN_PORT}'
        return settings

    async def listen(self):
        """Start the proxy that delays what others send."""
        await asyncio.start_server(self._serve, self.host, PEERS_PORT)

    async def _serve(self, reader, writer):
        try:
            streams = await asyncio.open_connection(
                self.host, PEERS_LISTEN_PORT
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            _copy(reader, streams[1]), _copy(streams[0], writer)
        )


async def _copy(reader, writer):
    """Pass bytes on after the delay, in their order."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        while chunk := await reader.read(65536):
            loop.call_later(DELAY_S, _write, writer, chunk)
    loop.call_later(DELAY_S, writer.close)


def _write(writer, chunk):
    if not writer.is_closing():
        writer.write(chunk)


class Operator:
    """Sends configs, one each GAP_S, at most eight at once."""

    def __init__(self, deployment, record):
        self.acked = 0
        self.sent = 0
        self._deployment = deployment
        self._record = record
        self._open = 0

    async def order(self):
        """Send the next config until it is acknowledged."""
        self.sent += 1
        version = self.sent
        self._open += 1
        for number in range(60):
            running = [one for one in self._deployment.controls if one.running]
            if not running:
                # The case has ended.
                break
            machine = running[(version + number) % len(running)]
            status, _ = await call(
                machine.host,
                OPERATORS_PORT,
                'PUT',
                '/-/config',
                configuration(version),
            )
            if status == 200:
                self.acked = max(self.acked, version)
                break
            await asyncio.sleep(0.2)
        self._open -= 1

    async def storms(self):
        """Send storms of configs until cancelled."""
        self._record.add(f'storms of configs, {GAP_S} s apart, from here on')
        loop = asyncio.get_running_loop()
        tasks = set()
        while True:
            ends_at = loop.time() + STORM_S
            while loop.time() < ends_at:
                if self._open < 8:
                    task = asyncio.create_task(self.order())
                    tasks.add(task)
                    task.add_done_callback(tasks.discard)
                await asyncio.sleep(GAP_S)
            await asyncio.sleep(PAUSE_S)


async def read_back(deployment, operator, record):
    """Tell whether the newest acknowledged config can be read back."""
    ends_at = record.now + READ_BACK_S
    statuses = {}
    while record.now < ends_at:
        for machine in deployment.controls:
            status, body = await call(
                machine.host, OPERATORS_PORT, 'GET', '/-/config'
            )
            statuses[status] = statuses.get(status, 0) + 1
            if status == 200:
                version = int(json.loads(body)['version'][1:])
                record.add(f'GET config from {machine.name}: r{version}')
                return version >= operator.acked
        await asyncio.sleep(0.25)
    record.add(f'no read gave a config; statuses {statuses}')
    return False


async def lose(deployment, operator, record):
    """Lose two disks, and two machines after the first loss has ended."""
    storm = asyncio.create_task(operator.storms()) if ORDERS else None
    wiped = [deployment.controls[2], deployment.controls[4]]
    for machine in wiped:
        await machine.kill()
        machine.wipe()
        record.add(f'{machine.name} lost its power and its disk')
    await asyncio.sleep(DARK_S)
    for machine in wiped:
        await machine.start(bootstrap=False)
        record.add(f'{machine.name} is back, empty, bootstrap false')
    await asyncio.sleep(BOUNDS['catch_up_s'] + 0.1)
    gone = [deployment.controls[1], deployment.controls[3]]
    for machine in gone:
        await machine.kill()
        record.add(f'{machine.name} is gone for good')
    await asyncio.sleep(1.0)
    for number, machine in enumerate(gone, 7):
        host = deployment.network.host(number)
        new = DelayedMachine(
            machine.name[:-1] + '2', machine.zone, host, True, deployment
        )
        await new.listen()
        deployment.controls[deployment.controls.index(machine)] = new
        await new.start(bootstrap=False)
        record.add(f'{new.name} is added, empty, bootstrap false')
    if storm is not None:
        storm.cancel()
    record.add(f'{operator.sent} configs sent, r{operator.acked} acknowledged')


async def play(record):
    """Play the case and return its exit status."""
    common.Machine = DelayedMachine
    deployment = Deployment(record)
    operator = Operator(deployment, record)
    try:
        for machine in deployment.controls:
            await machine.listen()
        await deployment.start()
        await operator.order()
        if not operator.acked:
            raise CannotRun('the first configuration was never accepted')
        await asyncio.sleep(max(LEAD_S - record.now, 0))
        if TROUBLE:
            await lose(deployment, operator, record)
        await asyncio.sleep(BOUNDS['recover_s'])
        held = await read_back(deployment, operator, record)
    finally:
        await deployment.stop()
    record.add('held' if held else 'BROKEN: an acknowledged config is gone')
    return 0 if held else 1


def main():
    """Play the case."""
    record = Record(FOLDER / 'record.txt')
    try:
        sys.exit(asyncio.run(play(record)))
    except (CannotRun, OSError) as exc:
        record.add(f'cannot run: {exc}')
        sys.exit(2)


main()
