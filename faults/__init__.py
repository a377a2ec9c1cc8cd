"""Runs a fleet under faults and checks what callers and backend servers saw.

The checks are the promises of the system; see ``faults.checks``.
"""
