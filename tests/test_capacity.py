"""Tests of the arithmetic of the capacity page."""

from benchmarks import capacity


def test_page_follows_from_the_slopes():
    """Guards against a figure on the page that no slope supports."""
    assert capacity.PAGE.read_text() == capacity.render()


def test_formula_of_sums_and_products():
    """Guards against wrong arithmetic in the formulas."""
    names = {'two': 2.0, 'ten': 10.0}
    assert capacity.evaluate('two * ten / 5 + 1', names) == 5
