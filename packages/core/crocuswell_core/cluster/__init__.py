"""Replicated cluster state: records, commands and command handlers."""
