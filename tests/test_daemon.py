"""Tests of the daemon's start."""

import msgspec

from cuminhoist import daemon
from cuminhoist.settings import Settings

from . import builders


def test_paths_are_relative_to_the_settings_file(tmp_path, monkeypatch):
    """Guards against durable state that moves with the working folder."""
    topology = builders.example_topology()
    control = topology.control_instances()[0]
    cfg = builders.settings_of(topology, control.name, '../data')
    folder = tmp_path / 'settings'
    folder.mkdir()
    (folder / 'topology.json').write_bytes(msgspec.json.encode(topology))
    (folder / 'own.json').write_bytes(msgspec.json.encode(cfg))
    started: list[Settings] = []

    async def record(node):
        """Run nothing."""

    monkeypatch.setattr(daemon, 'run_until_signal', record)
    monkeypatch.setattr(
        daemon,
        'Node',
        lambda settings, _topology: started.append(settings),
    )
    daemon.serve(str(folder / 'own.json'))
    assert started[0].data_folder == str(tmp_path / 'data')
