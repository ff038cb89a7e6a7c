"""Carries accepted settings from the replicated store to every process."""
