"""Tests of the start of the daemon.

They guard against relative paths in the settings that depend on the folder
from which the daemon is started.
"""

import msgspec

from cuminhoist import daemon
from cuminhoist.settings import Settings

from . import builders


def test_paths_are_relative_to_the_settings_file(tmp_path, monkeypatch):
    """Guards against a data folder that depends on the working folder."""
    topology = builders.example_topology()
    control = topology.control_instances()[0]
    cfg = builders.settings_of(topology, control.name, '../data')
    folder = tmp_path / 'settings'
    folder.mkdir()
    (folder / 'topology.json').write_bytes(msgspec.json.encode(topology))
    (folder / 'own.json').write_bytes(msgspec.json.encode(cfg))
    node_settings: list[Settings] = []

    async def skip_run(node):
        """Return at once, without starting the node."""

    monkeypatch.setattr(daemon, 'run_until_signal', skip_run)
    monkeypatch.setattr(
        daemon,
        'Node',
        lambda cfg, _topology: node_settings.append(cfg),
    )
    daemon.serve(str(folder / 'own.json'))
    assert node_settings[0].data_folder == str(tmp_path / 'data')
