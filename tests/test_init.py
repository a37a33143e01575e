"""Tests of the public names of the package.

They guard against names in ``__all__`` that cannot be imported.
"""

import pytest

import cuminhoist


def test_public_names_can_be_imported():
    """Guards against a public name that moved without a new re-export."""
    missing = [
        name for name in cuminhoist.__all__ if not hasattr(cuminhoist, name)
    ]
    assert not missing
    with pytest.raises(AttributeError):
        _ = cuminhoist.no_such_name
