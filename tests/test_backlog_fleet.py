"""Random runs with more ends than a list names, and planted faults."""

from collections.abc import Callable

import pytest

from crocuswell_core.runner import run_lists
from crocuswell_core.runner.runner_state import RunnerState
from tests.backlog_fleet import BACKLOG_PLAY_MS, BacklogFleet
from tests.simulated_host import InvariantError

SEEDS = (4, 7)


@pytest.mark.parametrize("seed", SEEDS)
def test_work_that_is_done_never_starts_again(seed: int) -> None:
    """Guards against a second start of work whose end is not listed yet."""
    fleet = BacklogFleet(seed)
    fleet.play(BACKLOG_PLAY_MS)
    assert fleet.starts > 500


def test_backlogs_detect_lists_that_count_as_whole(monkeypatch) -> None:
    """Guards against a check that could not fail."""
    update: Callable[[RunnerState], None] = run_lists._update_absent_runs

    def planted(state: RunnerState) -> None:
        state.lists_all_ends = True
        update(state)

    monkeypatch.setattr(run_lists, "_update_absent_runs", planted)
    with pytest.raises(InvariantError, match="that is done"):
        for seed in SEEDS:
            BacklogFleet(seed).play(BACKLOG_PLAY_MS)
