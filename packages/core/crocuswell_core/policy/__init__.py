"""Policy: which request starts where, and which one makes room."""
