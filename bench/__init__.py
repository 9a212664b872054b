"""Benchmarks. Each one prints its seed, its parameters and a baseline."""
