"""One process a host that carries callers' requests on one event loop."""
