"""Adapter for the users' platform: names, formats and calls, without decisions or state."""
