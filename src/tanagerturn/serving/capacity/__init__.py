"""Capacity planning: the number of hosts by availability zone, class and market."""
