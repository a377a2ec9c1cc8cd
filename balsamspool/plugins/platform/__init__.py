"""Platform plug-in: reads and watches the values that the platform publishes."""

from balsamspool.plugins.platform.client import PlatformValue, Unchanged
from balsamspool.plugins.platform.plugin import PlatformPlugin, PlatformSettings

__all__ = ["PlatformPlugin", "PlatformSettings", "PlatformValue", "Unchanged"]
