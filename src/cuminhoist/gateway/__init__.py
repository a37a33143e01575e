"""Forwards callers' requests to targets and passes the answers back."""
