"""Retry budgets, hedging and quarantine."""
