"""The state group: its members on hosts with a disk, and reads and writes of it."""
