"""What entry and control processes share."""
