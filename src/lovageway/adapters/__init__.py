"""Edge of the daemon: one module for each outside interface."""
