"""Soak test: injects random faults into real processes and checks guarantees.

Instances run as separate processes on loopback. The platform, the endpoints and the
callers run in the process of the soak, which therefore sees every request sent and
every request run. Faults are injected from outside the instances, in a sequence
determined by a seed; they repeat and overlap. They are proxies in front of the store
and the endpoints, signals, faults of the store and configuration changes. Connections
of an instance come from its own address, so that it alone can be kept from engines.

Not covered: steps of the clock, which need privileges (see `test_usage_counts`), and
faults on the links between instances, which have no proxy (see `test_exchange`).
"""
