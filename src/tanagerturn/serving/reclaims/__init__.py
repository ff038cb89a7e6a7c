"""Reclaim notices, and what happens to the requests on engines under notice."""
