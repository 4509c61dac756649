"""Agreement: elections, replication, snapshots and membership."""
