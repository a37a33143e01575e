"""Replays load patterns against the dispatcher, with emulated targets."""

from .patterns import Pattern, load_pattern
from .report import Report
from .simulation import Simulation

__all__ = ('Pattern', 'Report', 'Simulation', 'load_pattern')
