"""Tests of the capacity page and its arithmetic.

The page is generated from the slopes, so it is wrong after a change of either
that did not generate it anew.
"""

from benchmarks import capacity


def test_page_follows_from_the_slopes():
    """Guards against figures on the page that differ from the slopes."""
    assert capacity.PAGE.read_text() == capacity.render()


def test_formula_of_sums_and_products():
    """Guards against wrong sums, products and quotients of formulas."""
    names = {'two': 2.0, 'ten': 10.0}
    assert capacity.evaluate('two * ten / 5 + 1', names) == 5
