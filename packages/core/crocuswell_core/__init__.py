"""Decisions of crocuswell: one reducer over all events, effects as data."""
