"""Assigns endpoints of the same process to instances of the cloud stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from lagoonring.platform.cloud import CloudInstance


class PooledEndpoint(Protocol):
    """An endpoint stand-in whose instance can start and end."""

    def begin(self) -> None:
        """Accept connections, as on a new instance with empty memory."""

    def end(self) -> None:
        """Reset all connections and refuse new ones."""


class EndpointPool:
    """Assigns an endpoint to each running instance and ends it with the instance.

    Parameters
    ----------
    urls : sequence of str
        URLs of the endpoints; the first free one is assigned.
    endpoints : mapping of str to PooledEndpoint
        Endpoints of this process by URL. Endpoints in other processes are
        assigned, but not started or ended.
    """

    def __init__(
        self, urls: Sequence[str], endpoints: Mapping[str, PooledEndpoint]
    ) -> None:
        self.urls = urls
        self.endpoints = endpoints
        self.url_by_instance: dict[str, str] = {}

    def attach(self, instance: CloudInstance) -> str:
        """Assign a URL to an instance that starts to run; "" if none is free."""
        used = set(self.url_by_instance.values())
        url = next((url for url in self.urls if url not in used), "")
        if url:
            self.url_by_instance[instance.instance] = url
        if url in self.endpoints:
            self.endpoints[url].begin()
        return url

    def detach(self, instance: CloudInstance) -> None:
        """End the endpoint of an instance that has ended."""
        url = self.url_by_instance.pop(instance.instance, "")
        if url in self.endpoints:
            self.endpoints[url].end()

    def end_unattached(self) -> None:
        """End the endpoints that are not assigned to an instance."""
        used = set(self.url_by_instance.values())
        for url in self.urls:
            if url in self.endpoints and url not in used:
                self.endpoints[url].end()
