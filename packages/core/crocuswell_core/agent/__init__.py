"""An agent: its stream, its tasks, its leases and the backend server."""
