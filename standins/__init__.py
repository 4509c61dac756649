"""Test doubles of external systems; not part of the distribution."""
