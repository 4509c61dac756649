"""Requests, attempts and their outcomes."""
