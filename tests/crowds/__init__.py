"""Tests of the real programs beside clients that keep to no limit."""
