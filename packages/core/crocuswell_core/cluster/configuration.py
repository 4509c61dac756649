"""Numbered configuration: workspaces, presets, limits."""

import attrs

from crocuswell_core.cluster.resources import NO_RESOURCES, Resources, Shape


@attrs.frozen
class Workspace:
    """A workspace and its share of the fleet.

    Attributes
    ----------
    guarantees : tuple of Shape
        Shapes that the workspace can claim at any time, all at once.
    quota : Resources or None
        Maximum resources in use at once; None for no limit.
    weight : int
        Weight in fair sharing of capacity above the guarantees.
    queue_limit : int
        Maximum number of queued requests.
    retry_budget : int
        Maximum number of pending retries.
    """

    name: str
    guarantees: tuple[Shape, ...] = ()
    quota: Resources | None = None
    weight: int = 1
    queue_limit: int = 1_000
    retry_budget: int = 100


@attrs.frozen
class Preset:
    """A named set of policy settings that operators switch between.

    Attributes
    ----------
    fragmentation_weight, completion_weight : float
        Weights of low fragmentation and of short completion times in
        scheduling decisions.
    reserve_share : float
        Fraction of accelerators kept idle, 0 to 1.
    borrowing : bool
        Whether workspaces may use capacity above their guarantees.
    placement : bool
        Whether new attempts are placed; False stops all placement.
    """

    name: str
    fragmentation_weight: float = 1.0
    completion_weight: float = 1.0
    reserve_share: float = 0.0
    borrowing: bool = True
    placement: bool = True


@attrs.frozen
class Limits:
    """Fleet-wide limits.

    Attributes
    ----------
    run_lease_ms : int
        Time in ms without contact after which an agent stops its tasks.
    result_retention_ms : int
        Time in ms for which a result is kept.
    result_bytes : int
        Maximum size of a result in bytes.
    quarantine_share : float
        Maximum fraction of workers in quarantine at once, 0 to 1.
    attempts : int
        Number of failures after which a request is not retried.
    """

    run_lease_ms: int = 15_000
    result_retention_ms: int = 3_600_000
    result_bytes: int = 65_536
    quarantine_share: float = 0.2
    attempts: int = 5


@attrs.frozen
class Objective:
    """A service-level objective of one workspace.

    Attributes
    ----------
    completion_ms : int
        Longest completion time in ms that meets the objective.
    target : float
        Fraction of requests that must meet it, 0 to 1.
    """

    workspace: str
    job_class: str
    completion_ms: int
    target: float = 0.99


@attrs.frozen
class Configuration:
    """The operators' configuration; always replaced as a whole."""

    workspaces: tuple[Workspace, ...] = ()
    presets: tuple[Preset, ...] = attrs.Factory(lambda: (Preset("ordinary"),))
    active_preset: str = "ordinary"
    limits: Limits = attrs.Factory(Limits)
    objectives: tuple[Objective, ...] = ()

    def preset(self) -> Preset:
        """Return the active preset."""
        return next(p for p in self.presets if p.name == self.active_preset)

    def workspace(self, name: str) -> Workspace | None:
        """Return the workspace with the given name, or None."""
        return next((w for w in self.workspaces if w.name == name), None)


@attrs.frozen
class ConfigurationChange:
    """An accepted configuration with its number in the history."""

    number: int
    author: str
    at_ms: int
    configuration: Configuration
    note: str = ""


def find_configuration_problem(configuration: Configuration) -> str | None:
    """Return the first error in a configuration.

    Parameters
    ----------
    configuration : Configuration
        The configuration to check.

    Returns
    -------
    str or None
        One sentence with the key and the correction, or None if valid.
    """
    names = [w.name for w in configuration.workspaces]
    if len(set(names)) != len(names):
        return "workspaces: names must differ"
    preset_names = [p.name for p in configuration.presets]
    if len(set(preset_names)) != len(preset_names):
        return "presets: names must differ"
    if configuration.active_preset not in preset_names:
        return (
            f"active_preset: {configuration.active_preset!r} is not declared; "
            f"use one of {', '.join(preset_names)}"
        )
    for workspace in configuration.workspaces:
        problem = _find_workspace_problem(workspace)
        if problem:
            return f"workspaces: {workspace.name}: {problem}"
    return None


def _find_workspace_problem(workspace: Workspace) -> str | None:
    if not workspace.name:
        return "name: must not be empty"
    if workspace.weight < 1:
        return "weight: must be at least 1"
    if workspace.queue_limit < 1:
        return "queue_limit: must be at least 1"
    if workspace.quota is None:
        return None
    guaranteed = sum(
        (shape.total for shape in workspace.guarantees), start=NO_RESOURCES
    )
    if not guaranteed.fits_in(workspace.quota):
        return "quota: is smaller than the sum of guarantees"
    return None
