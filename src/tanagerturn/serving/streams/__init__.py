"""Token streams: delivered in order and without duplicates over all attempts."""
