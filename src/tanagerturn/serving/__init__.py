"""Decision logic for requests, backend servers and capacity."""
