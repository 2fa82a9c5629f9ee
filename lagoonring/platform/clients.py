"""The clients of the platform's services, whose addresses may change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonring.logs import make_logger
from lagoonring.platform.duty_client import DutyClient
from lagoonring.platform.store import StoreClient
from lagoonring.platform.store_log import LogClient

if TYPE_CHECKING:
    import aiohttp

    from lagoonring.kernel import Clock
    from lagoonring.serving.settings import NodeSettings

logger = make_logger("settings")


class PlatformClients:
    """Clients of the store, of the log in it, and of the cloud.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Owned by the caller.
    """

    def __init__(
        self, settings: NodeSettings, session: aiohttp.ClientSession, clock: Clock
    ) -> None:
        store_url, cloud_url = _urls(settings)
        self.store = StoreClient(store_url, session)
        self.log = LogClient(
            store_url, session, clock=clock, timeout_s=self.store.timeout_s
        )
        self.duties = DutyClient(cloud_url, session)

    def apply_settings(self, settings: NodeSettings) -> None:
        """Send the next calls to the addresses of the settings."""
        store_url, cloud_url = _urls(settings)
        if (store_url, cloud_url) == (self.store.url, self.duties.url):
            return
        logger.info(
            "Platform's addresses changed.",
            extra={
                "store": store_url,
                "store_before": self.store.url,
                "cloud": cloud_url,
                "cloud_before": self.duties.url,
            },
        )
        self.store.url = self.log.client.url = store_url
        self.duties.url = cloud_url


def _urls(settings: NodeSettings) -> tuple[str, str]:
    return f"http://{settings.store_address}", f"http://{settings.cloud_address}"
