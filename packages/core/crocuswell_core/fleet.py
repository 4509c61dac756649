"""Workers: announcement, silence, draining, reports."""
