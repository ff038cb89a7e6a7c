"""Generated protobuf messages and services."""
