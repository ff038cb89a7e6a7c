"""Stand-ins: simulated engines, plain services, weight stores and cloud APIs.

They serve the real HTTP interfaces, without models or hosts behind them, and can
inject faults. Trace replays, tests and benchmarks run against them.
"""
