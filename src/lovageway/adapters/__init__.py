"""Network interfaces of the daemon, one module for each outside system."""
