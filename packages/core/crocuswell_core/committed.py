"""Committed entries: doubles, application, effects."""
