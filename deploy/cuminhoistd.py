"""Starts the daemon from a checkout, with the package from ``src``."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'src'))

from cuminhoist.platform.daemon import main  # noqa: E402

main()
