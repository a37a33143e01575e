"""Starts the daemon from a checkout, with the package from ``src``."""

import pathlib
import signal
import sys

# SIGHUP may come before the daemon handles it, and would end the process; the
# daemon reads the settings once more after its start.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'src'))

from cuminhoist.platform.daemon import main  # noqa: E402

main()
