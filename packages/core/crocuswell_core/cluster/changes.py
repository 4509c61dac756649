"""Handlers of configuration changes and preset switches."""

import attrs

from crocuswell_core.cluster.cluster_state import ClusterState
from crocuswell_core.cluster.commands import (
    ChangeAccepted,
    ChangeConfiguration,
    ConfirmInForce,
    Done,
    LogEntry,
    Refused,
    SwitchPreset,
)
from crocuswell_core.cluster.configuration import (
    Configuration,
    ConfigurationChange,
    find_configuration_problem,
)
from crocuswell_core.runtime.dispatch import apply_command
from crocuswell_core.runtime.effects import ApplyResult, EmitLogEvent, Label
from crocuswell_core.runtime.errors import ErrorKind

HISTORY_LENGTH = 200


@apply_command.register
def _(
    command: ChangeConfiguration, cluster: ClusterState, entry: LogEntry
) -> ApplyResult:
    if command.expected_number != cluster.number:
        return ApplyResult(_conflict(cluster, command.expected_number))
    return _accept(cluster, command.configuration, command.author, command.note)


@apply_command.register
def _(command: SwitchPreset, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    if command.expected_number != cluster.number:
        return ApplyResult(_conflict(cluster, command.expected_number))
    changed = attrs.evolve(cluster.configuration, active_preset=command.preset)
    note = f"preset {cluster.configuration.active_preset} to {command.preset}"
    return _accept(cluster, changed, command.author, note)


@apply_command.register
def _(command: ConfirmInForce, cluster: ClusterState, entry: LogEntry) -> ApplyResult:
    if not cluster.number_in_force < command.number <= cluster.number:
        return ApplyResult(Done())
    cluster.number_in_force = command.number
    ids = (Label("number", str(command.number)),)
    return ApplyResult(Done(), (EmitLogEvent("configuration in force", ids),))


def _accept(
    cluster: ClusterState, configuration: Configuration, author: str, note: str
) -> ApplyResult:
    problem = find_configuration_problem(configuration)
    if problem is not None:
        return ApplyResult(Refused(ErrorKind.INVALID_REQUEST, problem))
    number = cluster.number + 1
    cluster.history.append(
        ConfigurationChange(number, author, cluster.now_ms, configuration, note)
    )
    del cluster.history[:-HISTORY_LENGTH]
    cluster.needs_scheduling = True
    cluster.plan_outdated = True
    ids = (
        Label("number", str(number)),
        Label("author", author),
        Label("preset", configuration.active_preset),
    )
    return ApplyResult(
        ChangeAccepted(number), (EmitLogEvent("configuration accepted", ids),)
    )


def _conflict(cluster: ClusterState, expected_number: int) -> Refused:
    change = cluster.history[-1]
    detail = (
        f"change {expected_number + 1} is taken; the newest is {change.number} "
        f"by {change.author or 'nobody'} at {change.at_ms} ms"
    )
    if change.note:
        detail += f": {change.note}"
    return Refused(ErrorKind.CONFLICT, detail, current_number=change.number)
