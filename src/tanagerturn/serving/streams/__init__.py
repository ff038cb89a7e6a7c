"""Streams: tokens in order, each once, whichever backend servers made them."""
