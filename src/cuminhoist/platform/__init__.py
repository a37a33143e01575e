"""Translates between the platform's interfaces and the product's types.

Only this folder uses the platform's names of fields, headers and paths. It
makes no decisions and keeps no state.
"""
