"""Orders that bring engines from their announced state to their desired state."""
