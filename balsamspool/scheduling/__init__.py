"""Decisions on the order of requests, independent of front end and network."""
