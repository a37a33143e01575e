"""Placement decisions for requests.

The package does no I/O and reads no clock: callers pass in messages and time.
"""
