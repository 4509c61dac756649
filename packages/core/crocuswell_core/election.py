"""Elections, votes, leadership and its lease."""
