"""Gradual moves of a service to another version of its backend servers."""
