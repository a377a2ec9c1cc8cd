"""Runs a fleet under injected faults and checks what callers and servers observed.

The checks cover the guarantees of the system; see ``faults.checks``.
"""
