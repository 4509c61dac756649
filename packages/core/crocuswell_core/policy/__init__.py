"""Scheduling policy: placement, fair sharing, guarantees and preemption."""
