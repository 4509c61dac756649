"""Imports the modules of an entry host, which register their handlers."""

from crocuswell_core.cluster import (  # noqa: F401
    changes,
    evacuation_handlers,
    fleet,
    requests,
)
from crocuswell_core.consensus import election, members, replication  # noqa: F401
from crocuswell_core.dispatching import control  # noqa: F401
from crocuswell_core.entry import (  # noqa: F401
    call_handlers,
    lifecycle,
    liveness,
    sessions,
    views,
)
from crocuswell_core.jobs import (  # noqa: F401
    job_command_handlers,
    job_read_handlers,
    run_command_handlers,
)
from crocuswell_core.links import client_streams  # noqa: F401
from crocuswell_core.runtime import shared_handlers  # noqa: F401
