"""Log lines: one for each change of state, as key=value."""

import logging
import sys

from crocuswell_core.runtime.effects import ChangeLevel, Label, LogChange

LOGGER = logging.getLogger("crocuswell")
LEVELS = {
    ChangeLevel.INFO: logging.INFO,
    ChangeLevel.WARNING: logging.WARNING,
    ChangeLevel.ERROR: logging.ERROR,
}


class LogWriter:
    """Writes changes of state of one process.

    Parameters
    ----------
    process : str
        Id of the entry host or agent, in each line.
    """

    def __init__(self, process: str) -> None:
        self._process = process

    def write(self, change: LogChange) -> None:
        """Write one line."""
        level = LEVELS[change.level]
        if not LOGGER.isEnabledFor(level):
            return
        ids = (Label("process", self._process), *change.ids)
        LOGGER.log(level, "change=%s %s", _quote(change.change), render(ids))


def render(labels: tuple[Label, ...]) -> str:
    """Return labels as `name=value`; values with blanks are quoted."""
    return " ".join(f"{label.name}={_quote(label.value)}" for label in labels)


def _quote(value: str) -> str:
    if value.isprintable() and value and not set(value) & set(' "='):
        return value
    escaped = "".join(c if c.isprintable() else ascii(c)[1:-1] for c in value)
    return '"' + escaped.replace('"', "'") + '"'


def configure() -> None:
    """Write log lines to standard error with time and level."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logging.Formatter("time=%(asctime)s level=%(levelname)s %(message)s")
    )
    # Libraries and parts appear from warnings up, changes of state from info.
    logging.basicConfig(handlers=[handler], level=logging.WARNING)
    LOGGER.setLevel(logging.INFO)
