"""Local system for tests, measurements and the demo.

Small processes that take the place of the platform and of back ends, a fault-injecting proxy, and
the script that starts them together with daemons.
"""
