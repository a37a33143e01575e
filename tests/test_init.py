"""Tests of the public names of the package."""

import pytest

import cuminhoist


def test_public_names():
    """Guards against a public name that was moved without its re-export."""
    missing = [
        name for name in cuminhoist.__all__ if not hasattr(cuminhoist, name)
    ]
    assert not missing
    with pytest.raises(AttributeError):
        _ = cuminhoist.no_such_name
