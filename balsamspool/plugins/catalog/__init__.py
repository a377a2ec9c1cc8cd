"""Catalog plug-in: published routes and backend servers, read only."""

from balsamspool.plugins.catalog.model import (
    BackendServer,
    BackendState,
    Route,
    RouteTable,
    Target,
)
from balsamspool.plugins.catalog.plugin import CatalogPlugin
from balsamspool.plugins.catalog.removals import RemovedServer
from balsamspool.plugins.catalog.source import CatalogSource
from balsamspool.plugins.catalog.view import CatalogView

__all__ = [
    "BackendServer",
    "BackendState",
    "CatalogPlugin",
    "CatalogSource",
    "CatalogView",
    "RemovedServer",
    "Route",
    "RouteTable",
    "Target",
]
