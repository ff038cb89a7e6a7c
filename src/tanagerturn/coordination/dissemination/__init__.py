"""Distribution of accepted settings from the replicated store to every process."""
