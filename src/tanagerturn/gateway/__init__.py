"""The gateway: one process per host that proxies callers' requests."""
