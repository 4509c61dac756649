"""Calls of callers and operators on an entry host."""
