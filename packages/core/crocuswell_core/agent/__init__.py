"""An agent: stream to an entry host, tasks, leases, backend server calls."""
