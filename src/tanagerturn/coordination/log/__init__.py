"""The replicated log: leader election and replication by majority.

The design follows what is published on Raft (Ongaro and Ousterhout, 2014;
Ongaro's dissertation, 2014). The core is pure: messages, ticks and proposals
go in with the present time, and a `Ready` with messages, writes and committed
entries comes out.
"""
