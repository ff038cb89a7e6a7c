"""Replicated log: leader election and majority replication (Raft).

The design follows Raft as published (Ongaro and Ousterhout, 2014; Ongaro's
dissertation, 2014). `Core` does no I/O and reads no clock: callers pass
messages, ticks, proposals and the current time, and get a `Ready` with the messages to
send, the entries to write and sync, and the committed entries to apply.
"""
