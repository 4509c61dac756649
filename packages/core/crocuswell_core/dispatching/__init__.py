"""Dispatching of tasks by the leader: worker state, planning, orders."""
