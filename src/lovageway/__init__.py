"""Serves generations of unknown length on crowded engines through equal entry daemons."""

__version__ = "0.1.0"
