"""Fault soak: real daemons, stand-ins and proxies on loopback, with seeded faults."""
