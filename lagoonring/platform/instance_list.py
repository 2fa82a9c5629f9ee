"""Client of the platform's instance list, which lags behind the actual state.

HTTP interface::

    GET /instances     answer: {"instances": [{"instance", "data_centre",
                       "region", "address", "peer_port", "http_port",
                       "role": "entry"|"endpoint", "state": "live"|"leaving"}]}
"""

from __future__ import annotations

from typing import Protocol

import attrs

from lagoonring.platform.exchange import PlatformClient, request_json


@attrs.frozen(kw_only=True)
class ListedInstance:
    """An entry of the instance list; its state may be out of date."""

    instance: str
    data_centre: str
    region: str = ""
    address: str = ""
    peer_port: int = 0
    http_port: int = 0
    role: str = "entry"
    state: str = "live"


@attrs.frozen
class ListPage:
    """Response of the instance list."""

    instances: list[ListedInstance]


class InstanceList(Protocol):
    """Interface of the instance list as peers use it; tests pass a fake."""

    async def read_instances(self) -> list[ListedInstance]:
        """Return the live and leaving instances listed."""


class InstanceListClient(PlatformClient):
    """The instance list over HTTP; errors as in ``platform.exchange``."""

    async def read_instances(self) -> list[ListedInstance]:
        """Return the live and leaving instances listed."""
        url = f"{self.url}/instances"
        page: ListPage = await request_json(self.session, "GET", url, ListPage)
        return page.instances
