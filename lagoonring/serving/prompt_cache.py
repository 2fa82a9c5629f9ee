"""The prompt parts that an endpoint is believed to have in its prefix cache."""

from __future__ import annotations

from collections import OrderedDict


class PromptCache:
    """Model of an endpoint's prefix cache, built from this instance's own requests.

    Parameters
    ----------
    n_tokens_most : int
        Capacity; beyond it the least recently used parts are evicted.
    """

    def __init__(self, n_tokens_most: int) -> None:
        self.n_tokens_most = n_tokens_most
        self.parts: OrderedDict[str, int] = OrderedDict()
        self.n_tokens = 0

    def count_cached(self, parts: tuple[tuple[str, int], ...]) -> int:
        """Return the tokens of the leading parts that are cached."""
        n_cached = 0
        for part, _ in parts:
            n_tokens = self.parts.get(part)
            if n_tokens is None:
                break
            n_cached += n_tokens
        return n_cached

    def add(self, parts: tuple[tuple[str, int], ...]) -> None:
        """Mark the parts as just used, evicting others beyond the capacity."""
        for part, n_tokens in parts:
            self.n_tokens += n_tokens - self.parts.pop(part, 0)
            self.parts[part] = n_tokens
        while self.n_tokens > self.n_tokens_most and len(self.parts) > 1:
            _, n_tokens = self.parts.popitem(last=False)
            self.n_tokens -= n_tokens
