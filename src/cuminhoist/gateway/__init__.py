"""Carries requests of callers to targets."""
