"""The agent's side: orders, reports, leases, calls to the backend server."""
