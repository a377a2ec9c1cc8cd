"""Decisions on where flows go, independent of the front end and of the network."""
