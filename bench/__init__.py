"""Measurements; each prints its seed, parameters and baseline."""
