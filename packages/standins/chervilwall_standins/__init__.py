"""Stand-ins for everything around the routers, for tests and measurements.

A stand-in is a small program that implements the protocol of a real component
(platform, target or caller) and injects faults on request.
"""
