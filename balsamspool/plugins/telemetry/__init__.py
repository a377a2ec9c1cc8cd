"""Telemetry plug-in: metrics, health and status pages, traces."""

from balsamspool.plugins.telemetry.admin import TelemetryPlugin

__all__ = ["TelemetryPlugin"]
