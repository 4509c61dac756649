"""Random runs of large jobs, and a planted fault that they must detect."""

import pytest

from crocuswell_core.runtime import call_window
from tests.crowd_fleet import CROWD_PLAY_MS, CrowdFleet
from tests.simulated_host import InvariantError

SEED = 3


def test_cancelled_crowds_are_over_in_time() -> None:
    """Guards against hundreds of orders that wait behind unanswered ones."""
    fleet = CrowdFleet(SEED)
    fleet.play(CROWD_PLAY_MS)
    assert fleet.starts > 500
    assert fleet.unanswered_runs


def test_crowds_detect_orders_that_wait_for_answers(monkeypatch) -> None:
    """Guards against a check that could not fail."""
    monkeypatch.setattr(call_window, "OVERDUE_AFTER_MS", 10**9)
    with pytest.raises(InvariantError, match="works on"):
        CrowdFleet(SEED).play(CROWD_PLAY_MS)
