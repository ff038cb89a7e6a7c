"""Requests: their life, their durable records, and who may act on them."""
