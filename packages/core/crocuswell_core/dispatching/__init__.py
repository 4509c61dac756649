"""Dispatching of tasks by the leader: worker state, policy, orders."""
