"""Capacity planning: the number of hosts by zone, class and market."""
