"""Local system for tests, measurements and the demo.

It consists of small processes that replace the platform and the backend servers, a proxy that
injects faults, and a script that starts them together with daemons.
"""
