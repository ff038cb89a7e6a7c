"""Stand-ins of engines, services, weight store and cloud."""
