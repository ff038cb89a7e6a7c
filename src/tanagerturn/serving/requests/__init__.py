"""Requests: lifecycle, durable records and ownership of the records."""
