"""Controllers. Each module owns one part of a daemon's state; no other code changes that part."""
