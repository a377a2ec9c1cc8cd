"""Small HTTP client and server for processes that have to start fast."""
