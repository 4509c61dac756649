"""Stand-ins of the third review: workers, processes and clients."""
