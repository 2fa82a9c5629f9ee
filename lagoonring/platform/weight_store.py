"""Client of the platform's weight store, whose transfer rate is limited.

HTTP interface::

    POST /fetches      {"weights": NAME}; answer: a fetch; 503 if the queue is full
    GET  /fetches/ID   answer: the current state of the fetch
    GET  /weights      answer: {"weights": {NAME: size in MB}}
"""

from __future__ import annotations

import attrs

from lagoonring.platform.exchange import PlatformClient, request_json


@attrs.frozen(kw_only=True)
class Fetch:
    """A download; ``state`` is ``waiting``, ``running``, ``done`` or ``failed``."""

    fetch: str
    weights: str
    size_mb: float
    state: str


@attrs.frozen
class WeightsPage:
    """Sizes in MB by name of the weights in the store."""

    weights: dict[str, float]


class WeightStoreClient(PlatformClient):
    """The weight store over HTTP; errors as in ``platform.exchange``."""

    async def start_fetch(self, weights: str) -> Fetch:
        """Start a fetch; raises ``PlatformUnavailableError`` if the queue is full."""
        content = {"weights": weights}
        url = f"{self.url}/fetches"
        return await request_json(self.session, "POST", url, Fetch, content=content)

    async def read_fetch(self, fetch: str) -> Fetch:
        """Return the current state of a fetch."""
        return await request_json(
            self.session, "GET", f"{self.url}/fetches/{fetch}", Fetch
        )

    async def list_weights(self) -> dict[str, float]:
        """Return the sizes in MB of all weights by name."""
        url = f"{self.url}/weights"
        page: WeightsPage = await request_json(self.session, "GET", url, WeightsPage)
        return page.weights
