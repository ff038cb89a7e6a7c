"""Routing: selection of the backend server for a request."""
