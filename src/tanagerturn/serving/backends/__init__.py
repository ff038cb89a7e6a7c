"""State of backend servers: announcements, local requests, health and notices."""
