"""The reducer and the types of its events, effects and timers."""
