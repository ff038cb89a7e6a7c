"""Routing: the choice of the backend server for a request."""
