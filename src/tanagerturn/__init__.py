"""Serving system on reclaimable hosts, and a library of coordination parts."""
