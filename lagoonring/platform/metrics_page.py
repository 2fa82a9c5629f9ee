"""Serves the metrics of an instance on a separate address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, Counter, generate_latest

from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.platform.connections import MAX_HEADER_BYTES, CallerConnections
from lagoonring.platform.socket_shares import max_caller_sockets

if TYPE_CHECKING:
    from lagoonring.kernel import Application
    from lagoonring.serving.settings import NodeSettings

METRICS_PATH = "/metrics"
METRICS_SHARE = 0.02  # of sockets and memory
IDLE_TIMEOUT_S = 75.0
HEADER_TIMEOUT_S = 3.0

logger = make_logger("metrics")


class MetricsPage(BaseService):
    """Serves the registry in the text format of Prometheus.

    Parameters
    ----------
    settings : NodeSettings
        With the IP address to listen on and the limits of the process.
    port : int
        TCP port.
    """

    name = "metrics page"

    def __init__(self, app: Application, settings: NodeSettings, port: int) -> None:
        self.registry = app.find("metrics").registry
        self.app = app
        self.address = f"{settings.ip}:{port}"
        self.runner: web.ServerRunner | None = None
        self.connections = CallerConnections(
            self.handle,
            clock=app.clock,
            head_limit_bytes=lambda: MAX_HEADER_BYTES,
            timeouts=lambda: (IDLE_TIMEOUT_S, HEADER_TIMEOUT_S),
            max_sockets=max_caller_sockets(settings.max_fds, METRICS_SHARE),
            memory_bytes=METRICS_SHARE * settings.memory_bytes,
            closed=Counter(
                "lagoonring_metrics_page_connections_closed_total",
                "Connections to the metrics page that were closed, by reason.",
                ["reason"],
                registry=self.registry,
            ),
        )

    async def start(self) -> None:
        """Listen; if that fails, log an error and run without a metrics page."""
        try:
            self.runner = await self.connections.listen(self.address)
        except OSError as error:
            logger.error(
                "Could not listen for metrics requests.",
                extra={"address": self.address, "error": str(error)},
            )
            return
        self.app.spawn("metrics connections", self.connections.sweep)

    def apply_settings(self, settings: NodeSettings) -> None:
        """Apply the process's limits, which may have changed."""
        self.connections.set_limits(
            max_caller_sockets(settings.max_fds, METRICS_SHARE),
            METRICS_SHARE * settings.memory_bytes,
        )

    async def stop(self) -> None:
        """Stop listening."""
        if self.runner is not None:
            await self.runner.cleanup()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request: the metrics under ``/metrics``, else 404."""
        if request.path != METRICS_PATH:
            return web.Response(status=404)
        body = generate_latest(self.registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})
