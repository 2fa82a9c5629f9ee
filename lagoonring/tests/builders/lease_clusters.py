"""Instances that compete for one lease, without a network."""

from __future__ import annotations

import msgspec

from lagoonring.kernel import ManualClock
from lagoonring.leases import Lease, LeaseOptions, LeaseStream
from lagoonring.standins.log_standin import LogStandin
from lagoonring.tests.builders.logs import InstanceLog

OPTIONS = LeaseOptions(duration_s=6, margin_s=1, renew_interval_s=2, poll_s=1)
STREAM = "lease"


class Words:
    """Guarded data: the list of all valid words."""

    def __init__(self):
        self.words = []

    def on_data(self, offset, time_s, payload):
        self.words.append(msgspec.json.decode(payload))

    def restore(self, parts):
        self.words = [word for part in parts for word in msgspec.json.decode(part)]

    def make_parts(self):
        half = len(self.words) // 2
        return [self.words[:half], self.words[half:]]


class LeaseCluster:
    """Instances that compete for one lease on a manual clock."""

    def __init__(self, n_instances=2, **log_options):
        self.clock = ManualClock()
        self.log = LogStandin(self.clock, **log_options)
        self.logs = [InstanceLog(self.log) for _ in range(n_instances)]
        self.words = [Words() for _ in range(n_instances)]
        self.leases = [
            Lease(log, STREAM, f"i{index}", self.clock, OPTIONS, data=words)
            for index, (log, words) in enumerate(
                zip(self.logs, self.words, strict=True)
            )
        ]

    async def read_all(self, words=None):
        words = words or Words()
        stream = LeaseStream(self.log, STREAM, self.clock, words)
        await stream.read_to_end()
        return stream, words.words

    async def hand_over(self):
        """Expire the lease if needed and acquire it for the second instance."""
        second = self.leases[1]
        epoch = await second.acquire()
        if epoch is not None:
            return epoch
        self.clock.now_s += OPTIONS.duration_s
        return await second.acquire()
