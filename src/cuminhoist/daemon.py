"""The daemon's command line: runs one instance until SIGTERM or SIGINT."""

import asyncio
import pathlib
import signal
import sys

import fire
import msgspec
from returns.result import Failure

from .config_validation import check_settings, check_topology
from .logging_setup import configure_logs, logger
from .node import Node
from .settings import Settings, Topology, load_struct

_log = logger('daemon')


async def run_until_signal(node: Node) -> None:
    """Run an instance until SIGTERM or SIGINT.

    :param node: the instance.
    """
    stop_signalled = asyncio.Event()
    loop = asyncio.get_running_loop()
    await node.start()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop_signalled.set)
    await stop_signalled.wait()
    _log.info('Received a stop signal; stopping.')
    await node.stop()


def serve(settings: str) -> None:
    """Run one instance with the settings of a file.

    :param settings: path of the settings file.
    """
    path = pathlib.Path(settings)
    loaded = load_struct(path, Settings)
    if isinstance(loaded, Failure):
        sys.exit(str(loaded.failure()))
    cfg = loaded.unwrap()
    topology = load_struct(path.parent / cfg.topology, Topology)
    if isinstance(topology, Failure):
        sys.exit(str(topology.failure()))
    validation_errors = (
        *check_topology(topology.unwrap(), cfg.topology),
        *check_settings(cfg, topology.unwrap(), settings),
    )
    if validation_errors:
        sys.exit('\n'.join(str(error) for error in validation_errors))
    cfg = _resolve_paths(cfg, path.parent)
    configure_logs(cfg.logs)
    asyncio.run(run_until_signal(Node(cfg, topology.unwrap())))


def _resolve_paths(cfg: Settings, settings_folder: pathlib.Path) -> Settings:
    """Return settings with absolute paths.

    :param cfg: settings as read.
    :param settings_folder: folder from which relative paths start.
    """
    paths = {
        field: str((settings_folder / getattr(cfg, field)).resolve())
        for field in ('data_folder', 'traces_file')
        if getattr(cfg, field)
    }
    return msgspec.structs.replace(cfg, **paths)


def main() -> None:
    """Run the command line of the daemon."""
    fire.Fire(serve)


if __name__ == '__main__':
    main()
