"""Streams from fronts, runners and joining hosts to the leader."""
