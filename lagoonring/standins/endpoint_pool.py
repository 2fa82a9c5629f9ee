"""Endpoints of the same process that run on instances of the cloud stand-in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from lagoonring.platform.cloud import CloudInstance


class PooledEndpoint(Protocol):
    """An endpoint stand-in whose instance may come and go."""

    def begin(self) -> None:
        """Serve, with nothing in memory."""

    def end(self) -> None:
        """Reset all connections and refuse new ones."""


class EndpointPool:
    """Gives each running instance an endpoint, and ends it with its instance.

    Parameters
    ----------
    urls : sequence of str
        Endpoints to give out, the first free one first.
    endpoints : mapping of str to PooledEndpoint
        Those of this process by URL; others are only named.
    """

    def __init__(
        self, urls: Sequence[str], endpoints: Mapping[str, PooledEndpoint]
    ) -> None:
        self.urls = urls
        self.endpoints = endpoints
        self.url_by_instance: dict[str, str] = {}

    def attach(self, instance: CloudInstance) -> str:
        """Return the URL of an instance that begins to run; "" if none is free."""
        used = set(self.url_by_instance.values())
        url = next((url for url in self.urls if url not in used), "")
        if url:
            self.url_by_instance[instance.instance] = url
        if url in self.endpoints:
            self.endpoints[url].begin()
        return url

    def detach(self, instance: CloudInstance) -> None:
        """End the endpoint of an instance that is gone."""
        url = self.url_by_instance.pop(instance.instance, "")
        if url in self.endpoints:
            self.endpoints[url].end()

    def end_unattached(self) -> None:
        """End the endpoints that no instance runs yet."""
        used = set(self.url_by_instance.values())
        for url in self.urls:
            if url in self.endpoints and url not in used:
                self.endpoints[url].end()
