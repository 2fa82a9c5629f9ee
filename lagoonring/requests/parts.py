"""Components of other packages that the request path uses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import aiohttp
import attrs

from lagoonring.endpoints import call, cancel, open_stream
from lagoonring.errors import LagoonringError
from lagoonring.kernel import Application
from lagoonring.logs import make_logger
from lagoonring.requests.metrics import RequestMetrics
from lagoonring.requests.options import RequestsOptions
from lagoonring.requests.suspects import SuspectedAttempts
from lagoonring.retries.messages import SuspectBusyError

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from lagoonring.requests.messages import CallerRequest
    from lagoonring.routing.messages import AttemptResult, Route, RouteRequest

PROBE_TIMEOUT_S = 0.5
CANCEL_TIMEOUT_S = 2.0
MAX_PINNED_CHECKS = 5
PINNED_CHECK_INTERVAL_S = 0.2
PINNED_RETRY_AFTER_S = 2.0

logger = make_logger("requests")


@attrs.define(kw_only=True)
class RequestParts:
    """The services and functions that handle requests."""

    app: Application
    options: RequestsOptions
    session: aiohttp.ClientSession
    catalogue: Any
    routing: Any
    limits: Any
    retries: Any
    claims: Any
    charges: Any
    moves: Any
    metrics: RequestMetrics
    open_stream: Callable[..., Any] = open_stream
    call_plain: Callable[..., Any] = call
    background: set[asyncio.Task[None]] = attrs.field(factory=set)
    suspects: SuspectedAttempts = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.suspects = SuspectedAttempts(self.observe)
        self.retries.subscribe(self.suspects.decide)

    async def begin_attempt(
        self, request: CallerRequest, route: Route, route_request: RouteRequest
    ) -> Route:
        """Register an attempt with the quarantine and return its route.

        If equal requests are in progress at two endpoints and none was completed
        before, the attempt is pinned to one of the two and the route leads there.

        Raises
        ------
        SuspectBusyError
            If equal requests are in progress at an endpoint that takes no work; an
            attempt elsewhere could crash a third endpoint.
        """
        for _ in range(MAX_PINNED_CHECKS):
            endpoint = await self.retries.attempt(
                request.fingerprint, route.endpoint, entry=request.entry
            )
            if endpoint == route.endpoint:
                return route
            pinned = self.routing.route_to(endpoint, route_request)
            if pinned is not None:
                return pinned
            self.retries.ended(request.fingerprint, endpoint, ok=False)
            if self.routing.is_leaving(endpoint):
                # A leaving endpoint gets no more requests, so none is pinned to it,
                # whichever requests were sent there before.
                return route
            await self.app.clock.sleep(PINNED_CHECK_INTERVAL_S)
        raise SuspectBusyError(
            f"Got equal requests in progress at {endpoint}, which takes no work, "
            "expected them to end.",
            remedy="Send it again after Retry-After; it was not run.",
            retry_after_s=PINNED_RETRY_AFTER_S,
        )

    async def report_failure(
        self, request: CallerRequest, route: Route, kind: str
    ) -> str:
        """Report a failed attempt to the quarantine and return its cause.

        The cause is empty unless the endpoint crashed.
        """
        if kind == "cut" and not await self.is_alive(route.url):
            return self.retries.crashed(
                request.fingerprint,
                route.endpoint,
                is_beside_trial=self.moves.is_moving(request.entry)
                and route.version == self.version_in_force(request.entry),
            )
        self.retries.ended(request.fingerprint, route.endpoint, ok=False)
        return ""

    def observe(
        self, request: CallerRequest, route: Route, result: AttemptResult
    ) -> None:
        """Report the result of an attempt to the comparison of versions.

        A crash with an undecided cause counts once the quarantine has decided it.
        """
        self.suspects.add(request, route, result)
        self.moves.observe(
            request.entry,
            route.version,
            request.route_name,
            result,
            caused_by_request=bool(result.cause),
            endpoint=route.endpoint,
            load_share=self.load_share(route.endpoint),
        )

    def version_in_force(self, entry: str) -> str:
        """Return an entry's version in the catalogue, empty if the entry was removed.

        Requests that failed once are retried on this version, so that a version on
        trial cannot fail the same request twice.
        """
        found = self.catalogue.content.entries.get(entry)
        return found.version if found is not None else ""

    def load_share(self, endpoint: str) -> float:
        """Return the share of an endpoint's slots in use, from 0 to 1."""
        state = self.routing.table.states.get(endpoint)
        return min(1.0, state.load / state.n_slots) if state is not None else 0.0

    def cancel_attempt(self, route: Route, attempt_id: str) -> None:
        """Cancel an attempt at its endpoint in the background."""
        self.run_in_background(self._cancel(route.url, attempt_id))

    def run_in_background(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in a task that only drain waits for."""
        task = asyncio.create_task(_run_logged(work))
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def is_alive(self, url: str) -> bool:
        """Return whether an endpoint still accepts connections."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        try:
            async with self.session.get(
                f"{url}/load", timeout=timeout, allow_redirects=False
            ):
                return True
        except TimeoutError:
            return True
        except aiohttp.ClientError:
            return False

    async def _cancel(self, url: str, attempt_id: str) -> None:
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                await cancel(self.session, url, attempt_id)
        except (OSError, aiohttp.ClientError):
            logger.debug("Endpoint did not acknowledge the cancellation of an attempt.")


async def _run_logged(work: Coroutine[Any, Any, Any]) -> None:
    try:
        await work
    except LagoonringError as error:
        logger.warning("Background task failed: {}.", error.code)
    except Exception:
        logger.exception("Background task failed.")
