"""Soak test: runs the real programs under randomly drawn faults."""
