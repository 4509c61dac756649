"""Calls of callers and operators; `Call` also covers those of a worker."""

from functools import singledispatch

import attrs

from crocuswell_core.cluster.commands import Command, Proposal
from crocuswell_core.jobs.job_commands import JobRead, SubmitJob
from crocuswell_core.runner.worker_calls import RunnerCall


@attrs.frozen
class CommandCall:
    """Change the replicated state; answered once applied on this host."""

    proposal: Proposal


@attrs.frozen
class GetRequest:
    """Read a request, waiting up to `wait_ms` for its outcome.

    Attributes
    ----------
    workspace : str
        Workspace of the caller; empty for an operator.
    """

    request_id: str
    workspace: str = ""
    wait_ms: int = 0


@attrs.frozen
class ListRequests:
    """Read the requests of a workspace, newest first."""

    workspace: str
    limit: int = 100


@attrs.frozen
class GetConfiguration:
    """Read the newest accepted configuration."""


@attrs.frozen
class GetHistory:
    """Read the newest configuration changes."""

    limit: int = 20


@attrs.frozen
class GetWorkers:
    """Read all workers with their free resources and attempts."""


@attrs.frozen
class GetEvacuations:
    """Read the failure domains that are evacuated."""


@attrs.frozen
class GetMembers:
    """Read the control group membership as known to this host."""


@attrs.frozen
class GetForecasts:
    """Read the learned run times and speeds as known to this host.

    Attributes
    ----------
    limit : int
        Most classes of work to read, those with the newest ends first.
    """

    limit: int = 100


@attrs.frozen
class ExplainRequest:
    """Ask why a request waits or why it was placed where it is."""

    request_id: str
    workspace: str = ""


ReadCall = (
    GetRequest
    | ListRequests
    | GetConfiguration
    | GetHistory
    | GetWorkers
    | GetEvacuations
    | GetMembers
    | GetForecasts
    | ExplainRequest
    | JobRead
)


Call = CommandCall | ReadCall | RunnerCall


@singledispatch
def note_known_index(call: Call, index: int) -> Call:
    """Return a call that tells which log entry preceded it, if it matters."""
    return call


@note_known_index.register
def _(call: CommandCall, index: int) -> CommandCall:
    command = _with_known_index(call.proposal.command, index)
    if command is call.proposal.command:
        return call
    # Copies of one call share a proposal; two calls for one job do not.
    digest = f"{call.proposal.digest}@{index}"
    return CommandCall(Proposal(call.proposal.command_id, digest, command))


@singledispatch
def _with_known_index(command: Command, index: int) -> Command:
    return command


@_with_known_index.register
def _(command: SubmitJob, index: int) -> Command:
    return attrs.evolve(command, known_index=index)
