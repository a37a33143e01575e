"""Instances that find each other, and what they share while they run."""
