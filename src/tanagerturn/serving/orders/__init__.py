"""Orders to engines: from desired state to announced state, one at a time."""
