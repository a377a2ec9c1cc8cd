"""Demonstration with both users' services."""
