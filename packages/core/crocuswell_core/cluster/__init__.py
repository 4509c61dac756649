"""Cluster state: records, commands and the handlers that apply them."""
