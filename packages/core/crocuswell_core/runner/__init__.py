"""A runner: starts and stops task runs on its local worker."""
