"""Log replication, commit, snapshots."""
