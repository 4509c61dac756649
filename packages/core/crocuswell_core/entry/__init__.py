"""Entry host: calls, reads, agent sessions and agent liveness."""
