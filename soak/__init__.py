"""Fault soak: seeded faults applied to real daemons, stand-ins and proxies on loopback."""
