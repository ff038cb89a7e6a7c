"""Orders that bring engines from their announced to their desired state."""
