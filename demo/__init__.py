"""Demonstration of a whole deployment on loopback."""
