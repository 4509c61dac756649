"""The reducer and the closed sets of events, effects and timers."""
