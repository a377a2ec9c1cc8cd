"""Configuration plug-in: the operator's text and the revision in force."""

from balsamspool.plugins.configuration.plugin import ConfigurationPlugin
from balsamspool.plugins.configuration.store import Configuration
from balsamspool.plugins.configuration.text import (
    DownloadRoute,
    FeedRoute,
    RequestRoute,
    Service,
    Text,
)

__all__ = [
    "Configuration",
    "ConfigurationPlugin",
    "DownloadRoute",
    "FeedRoute",
    "RequestRoute",
    "Service",
    "Text",
]
