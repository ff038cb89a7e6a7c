"""Token streams: in order and without duplicates, over several backend servers."""
