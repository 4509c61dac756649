"""What is learned from runs: how long work takes, and how fast workers are."""
