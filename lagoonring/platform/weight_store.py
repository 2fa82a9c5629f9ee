"""Client of the platform's weight store, which limits its rate.

HTTP interface::

    POST /fetches      {"weights": NAME}; answer: a fetch; 503 if too many wait
    GET  /fetches/ID   answer: the fetch as it is now
    GET  /weights      answer: {"weights": {NAME: size in MB}}
"""

from __future__ import annotations

import attrs

from lagoonring.platform.exchange import PlatformClient, ask


@attrs.frozen(kw_only=True)
class Fetch:
    """A fetch; ``state`` is ``waiting``, ``running``, ``done`` or ``failed``."""

    fetch: str
    weights: str
    size_mb: float
    state: str


@attrs.frozen
class WeightsPage:
    """Names and sizes (MB) of the weights that the store has."""

    weights: dict[str, float]


class WeightStoreClient(PlatformClient):
    """The weight store over HTTP; errors as in ``platform.exchange``."""

    async def start_fetch(self, weights: str) -> Fetch:
        """Order a fetch; ``PlatformUnavailableError`` if too many wait."""
        content = {"weights": weights}
        url = f"{self.url}/fetches"
        return await ask(self.session, "POST", url, Fetch, content=content)

    async def read_fetch(self, fetch: str) -> Fetch:
        """Return a fetch as it is now."""
        return await ask(self.session, "GET", f"{self.url}/fetches/{fetch}", Fetch)

    async def list_weights(self) -> dict[str, float]:
        """Return the sizes in MB of all weights by name."""
        url = f"{self.url}/weights"
        page: WeightsPage = await ask(self.session, "GET", url, WeightsPage)
        return page.weights
