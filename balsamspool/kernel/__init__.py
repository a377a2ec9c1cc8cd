"""Kernel: registry, lifecycle, settings, errors, events and clock."""
