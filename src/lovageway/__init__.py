"""Equal daemons that serve generations of unknown length on shared inference engines."""

__version__ = "0.1.0"
