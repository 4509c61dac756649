"""A front: takes callers' calls and forwards them to the leader."""
