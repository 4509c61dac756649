"""Membership of the control group."""
