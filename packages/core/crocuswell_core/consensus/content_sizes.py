"""Sizes of what callers and operators put into the log.

They bound the log by its size, as its number of entries does not: an entry
with a catalog takes more than a hundred times as much as one with a run's end.
"""

from functools import singledispatch

from crocuswell_core.cluster.commands import (
    ChangeConfiguration,
    Command,
    SubmitRequest,
)
from crocuswell_core.jobs.job_commands import PutCatalog, SubmitJob

# Typical size of a step, workspace, preset or objective.
ITEM_BYTES = 200


@singledispatch
def content_bytes(command: Command) -> int:
    """Return the approximate size in bytes of a command's outside content.

    0 for commands of the hosts themselves, which are small.
    """
    return 0


@content_bytes.register
def _(command: PutCatalog) -> int:
    return len(command.catalog.document)


@content_bytes.register
def _(command: SubmitJob) -> int:
    return len(command.payload) + ITEM_BYTES * len(command.steps)


@content_bytes.register
def _(command: SubmitRequest) -> int:
    return len(command.spec.payload)


@content_bytes.register
def _(command: ChangeConfiguration) -> int:
    cfg = command.configuration
    items = len(cfg.workspaces) + len(cfg.presets) + len(cfg.objectives)
    return ITEM_BYTES * items
