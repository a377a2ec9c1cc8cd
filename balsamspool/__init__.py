"""Layer-4 load balancer for HTTP/3 services."""

__version__ = "0.1.0"
