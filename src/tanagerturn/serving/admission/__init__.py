"""Admission: what starts, what waits and what is refused early."""
