"""Decisions about requests, backend servers and capacity."""
