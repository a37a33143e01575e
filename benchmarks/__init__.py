"""Benchmarks of single mechanisms; each module prints JSON."""
