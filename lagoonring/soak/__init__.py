"""Randomized faults on real processes, and the promises they must not break.

Instances run as separate processes on loopback; the platform, the endpoints and the
callers are in the process of the soak, which sees all that is sent and run. Faults
come from outside, by seed, in series and overlapping: proxies before the store and
the endpoints, signals, faults of the store, changes of the configuration.

Not covered: clocks can't be stepped from outside without privileges, see
`test_usage_counts`; links between instances have no proxy, see `test_exchange`.
"""
