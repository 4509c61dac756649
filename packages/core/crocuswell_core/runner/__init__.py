"""A runner: starts, stops and leases task runs on the worker beside it."""
