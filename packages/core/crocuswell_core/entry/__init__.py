"""An entry host: calls, reads, agents' sessions and liveness."""
