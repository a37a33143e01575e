"""Demonstration: a complete deployment on the loopback interface."""
