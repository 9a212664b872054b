"""Processor time and memory of another process, from the kernel's tables."""

import os
from pathlib import Path

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_s(pid):
    """Return the processor seconds that the process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_mb(pid):
    """Return the resident memory in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith("VmRSS"))
