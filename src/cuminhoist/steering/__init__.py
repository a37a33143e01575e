"""Decisions on requests under load; no sockets and no clock of their own."""
