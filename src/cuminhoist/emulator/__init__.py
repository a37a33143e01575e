"""Replays load patterns against the decisions, with emulated targets."""

from .patterns import Pattern, load_pattern
from .report import Report
from .world import World

__all__ = ('Pattern', 'Report', 'World', 'load_pattern')
