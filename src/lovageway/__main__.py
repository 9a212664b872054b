"""Runs the command line as ``python -m lovageway``."""

from lovageway.cli import main

main()
