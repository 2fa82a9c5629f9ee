"""Instances that exchange the state of the components that handle requests."""

from __future__ import annotations

from lagoonring.serving.state_sync import StateSync
from lagoonring.serving.true_time import TrueClock
from lagoonring.tests.builders.exchanges import Deployment
from lagoonring.tests.builders.serving import make_organisation, make_parts

ORGANISATION = make_organisation(rate_per_s=1000.0, burst=1e6, counts_tokens=True)


class PartsDeployment(Deployment):
    """A deployment whose instances have the components that handle requests."""

    def start(self, name, **options):
        """Start an instance, replacing one of the same name."""
        exchange = super().start(name, **options)
        parts = make_parts(None, clock=self.clock)
        parts.exchange = exchange
        exchange.parts = parts
        exchange.state_handler = StateSync(parts, TrueClock(self.clock), None)
        return exchange

    @property
    def now_s(self):
        """The time of the clock that all instances share."""
        return self.clock.monotonic()

    def parts(self):
        """Return the components of all instances."""
        return [exchange.parts for exchange in self.exchanges.values()]

    def admit(self, name, amount):
        """Let an instance admit an amount."""
        quotas = self.exchanges[name].parts.quotas
        now_s = self.clock.monotonic()
        quotas._add_own(quotas._usage_of(ORGANISATION.name), amount, now_s)

    def known_usage(self):
        """Return, by instance, the usage of all in the window that it knows of."""
        now_s = self.clock.monotonic()
        return [
            parts.quotas.all_totals(now_s)[ORGANISATION.name][1]
            for parts in self.parts()
        ]
