"""Files of a state member: log segments, snapshots, identity and lock."""
