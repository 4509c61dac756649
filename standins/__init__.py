"""Stand-ins for outside systems; not part of what ships."""
