"""Client of the platform's lagging list of live and leaving instances.

HTTP interface::

    GET /instances     answer: {"instances": [{"instance", "data_centre",
                       "region", "address", "peer_port", "http_port",
                       "role": "entry"|"endpoint", "state": "live"|"leaving"}]}
"""

from __future__ import annotations

from typing import Protocol

import attrs

from lagoonring.platform.exchange import PlatformClient, ask


@attrs.frozen(kw_only=True)
class ListedInstance:
    """An instance as the platform lists it, some time ago."""

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
    """Answer to a question for the list."""

    instances: list[ListedInstance]


class InstanceList(Protocol):
    """What peers need of the list; tests pass an own one."""

    async def read_instances(self) -> list[ListedInstance]:
        """Return the instances listed."""


class InstanceListClient(PlatformClient):
    """The instance list over HTTP; errors as in ``platform.exchange``."""

    async def read_instances(self) -> list[ListedInstance]:
        """Return the instances listed."""
        url = f"{self.url}/instances"
        page: ListPage = await ask(self.session, "GET", url, ListPage)
        return page.instances
