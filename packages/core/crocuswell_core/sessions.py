"""Agents' streams on an entry host, liveness and lease extension."""
