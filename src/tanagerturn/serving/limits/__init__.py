"""Limits of client accounts on one entry host."""
