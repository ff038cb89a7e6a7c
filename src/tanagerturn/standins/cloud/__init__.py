"""Stand-in cloud: a model of hosts, offers and notices, and an HTTP server for it."""
