"""Processor time and memory of another process, read from ``/proc``."""

import os
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid):
    """Return the processor seconds that the process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def rss_mb(pid):
    """Return the resident memory in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS"))
