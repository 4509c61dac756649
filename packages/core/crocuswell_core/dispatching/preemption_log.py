"""Log lines and counters of weighed preemptions."""

from crocuswell_core.dispatching.preemption_balance import Balance
from crocuswell_core.dispatching.waiting_steps import RankedStep
from crocuswell_core.dispatching.weighed_preemption import Weighing
from crocuswell_core.entry.entry_state import EntryState
from crocuswell_core.runtime.effects import Count, Effect, EmitLogEvent, Label


def balance_labels(balance: Balance) -> list[Label]:
    """Return the labels of a log line about a preemption."""
    return [
        Label("gain", str(round(balance.gain))),
        Label("loss", str(round(balance.loss))),
    ]


def note_withheld(
    state: EntryState, ranked: RankedStep, weighing: Weighing
) -> list[Effect]:
    """Report that no runs are stopped for a step, once for each reason."""
    withheld = state.dispatch.withheld
    if weighing.preemption is not None:
        withheld.pop(ranked.key, None)
        return []
    reason = weighing.verdict.value
    if withheld.get(ranked.key) == reason:
        return []
    withheld[ranked.key] = reason
    job_id, occurrence, step = ranked.key
    labels = (
        Label("job", job_id),
        Label("step", f"{occurrence}.{step}"),
        Label("reason", reason),
        *balance_labels(weighing.balance),
    )
    return [
        EmitLogEvent("preemption_withheld", labels),
        Count("preemptions_withheld_total", labels=(Label("reason", reason),)),
    ]
