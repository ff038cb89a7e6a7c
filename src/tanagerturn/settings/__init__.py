"""Settings: YAML in, checked protobuf messages out."""
