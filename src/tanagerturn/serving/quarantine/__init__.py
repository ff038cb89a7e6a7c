"""Quarantine of prompt parts that crash engines."""
