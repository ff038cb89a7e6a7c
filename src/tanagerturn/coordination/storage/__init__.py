"""Files of a state member: log segments, snapshots, identity file and lock."""
