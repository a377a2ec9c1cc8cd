"""Emulator of the front end for opaque flows.

The plug-ins of the product run unchanged, many entries and agents in one event loop
with a paused clock. Network, catalog service, backend servers and callers are emulated.
A run of a minute takes a few seconds, and the same seed gives the same run.
"""
