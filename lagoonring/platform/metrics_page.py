"""Serves the metrics of an instance on a separate address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger

if TYPE_CHECKING:
    from lagoonring.kernel import Application

METRICS_PATH = "/metrics"

logger = make_logger("metrics")


class MetricsPage(BaseService):
    """Serves the registry in the text format of Prometheus.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    """

    name = "metrics page"

    def __init__(self, app: Application, address: str) -> None:
        self.app = app
        self.address = address
        self.runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Listen; if that fails, log an error and run without a metrics page."""
        host, _, port = self.address.rpartition(":")
        runner = web.ServerRunner(web.Server(self.handle, access_log=None))
        await runner.setup()
        self.runner = runner
        try:
            await web.TCPSite(runner, host, int(port)).start()
        except OSError as error:
            logger.error(
                "Could not listen for metrics requests.",
                extra={"address": self.address, "error": str(error)},
            )

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request: the metrics under ``/metrics``, else 404."""
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        body = generate_latest(self.app.find("metrics").registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})
