"""Translates between the platform's interfaces and the product's types.

Nothing outside this folder knows the platform's names. Nothing inside it
decides or keeps state.
"""
