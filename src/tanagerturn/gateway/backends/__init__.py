"""Connections and exchanges with backend servers, and the limits that they state."""
