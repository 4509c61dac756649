"""Model checking of the consensus specifications within small bounds."""

import pytest

from tests.model_search import SMALL, SMALL_PLANTED, SMALL_PLANTED_STATES, search


@pytest.mark.parametrize("bounds", SMALL, ids=str)
def test_invariants_hold_in_every_execution(bounds):
    """Guards against a protocol that is unsafe by design."""
    found = search(bounds)
    assert found.violated == ()
    assert found.invariants


@pytest.mark.parametrize("planted", SMALL_PLANTED, ids=lambda p: p.bounds.fault)
def test_planted_fault_breaks_its_invariant(planted):
    """Guards against a specification that cannot fail."""
    found = search(planted.bounds, SMALL_PLANTED_STATES)
    assert planted.invariant in found.violated
