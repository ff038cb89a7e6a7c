"""The program tanager-entry: accepts callers' requests and routes them."""
