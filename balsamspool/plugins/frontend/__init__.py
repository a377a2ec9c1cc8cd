"""Front end of the agent: QUIC connections and HTTP/3 requests."""

from balsamspool.plugins.frontend.listener import FrontendPlugin

__all__ = ["FrontendPlugin"]
