"""Which hosts to hold: classes, zones, reclaimable or on demand."""
