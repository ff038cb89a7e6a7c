"""Serving system on reclaimable hosts, with an embeddable coordination library."""
