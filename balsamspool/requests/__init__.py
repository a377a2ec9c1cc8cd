"""Requests and answers, independent of the protocol that carries them."""

from balsamspool.requests.answer import ResponseWriter, write_error
from balsamspool.requests.request import Headers, Request

__all__ = ["Headers", "Request", "ResponseWriter", "write_error"]
