"""Failure detection between the system's own processes, over UDP.

Follows SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey
2018): direct and indirect probes, incarnation numbers, suspicion, piggybacked
gossip. `MembershipCore` does no I/O; `agent` runs it on a UDP socket and a clock.
"""
