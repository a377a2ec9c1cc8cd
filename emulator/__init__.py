"""Emulator of the front end for opaque flows.

The decisions of the product run unchanged, many entries and agents in one event loop
with a paused clock. Network, catalog service, backend servers and callers are emulated,
so a minute of a fleet takes seconds, and the same seed gives the same run.
"""
