"""Placement decisions for requests; the package opens no socket or clock."""
