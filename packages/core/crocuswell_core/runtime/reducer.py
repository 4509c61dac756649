"""The reducer with the handlers of all roles registered."""

from crocuswell_core.agent import agent  # noqa: F401
from crocuswell_core.entry import handlers  # noqa: F401
from crocuswell_core.front import front  # noqa: F401
from crocuswell_core.runner import runner  # noqa: F401
from crocuswell_core.runtime.reduction import reduce

__all__ = ["reduce"]
