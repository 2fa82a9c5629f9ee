"""The HTTP interface for callers and probes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from lagoonring.errors import LagoonringError
from lagoonring.kernel import BaseService
from lagoonring.logs import make_logger
from lagoonring.requests.answers import (
    complete_response,
    error_response,
    json_response,
    plain_response,
    send_stream,
)
from lagoonring.requests.caller_input import (
    LAST_EVENT_HEADER,
    read_body,
    read_idempotency_key,
    read_request_timeout_s,
    read_stream_position,
)
from lagoonring.requests.errors import (
    InternalFaultError,
    OutcomeUnknownError,
    given_up_error,
    unknown_request,
)
from lagoonring.requests.request_builders import (
    find_entry,
    make_chat_request,
    make_plain_request,
)
from lagoonring.requests.unframed import begin_unframed

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from prometheus_client import CollectorRegistry

    from lagoonring.requests.service import RequestsService
    from lagoonring.requests.streams import Stream

MAX_HEADER_BYTES = 16 << 10
SHUTDOWN_TIMEOUT_S = 2.0
UNFORWARDED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "idempotency-key",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-deadline-ms",
        "x-request-id",
    }
)

REQUEST_ID = web.RequestKey("request_id", str)

logger = make_logger("http")


class HttpService(BaseService):
    """Serves callers and probes; other services may add routes.

    Parameters
    ----------
    requests : RequestsService
        Runs the requests.
    authenticate : callable
        Maps headers to an organisation; raises an error if the key is missing or
        wrong.
    registry : CollectorRegistry
        Metrics to serve at ``/metrics``.
    host : str
        IP address to listen on.
    port : int
        TCP port. With 0 the system chooses one, and the attribute ``port`` holds it
        once the service has started.
    """

    name = "http"

    def __init__(
        self,
        requests: RequestsService,
        authenticate: Callable[[Mapping[str, str]], str],
        registry: CollectorRegistry,
        *,
        host: str,
        port: int,
    ) -> None:
        self.requests = requests
        self.authenticate = authenticate
        self.registry = registry
        self.host = host
        self.port = port
        self.web_app = web.Application(middlewares=[self._track, _convert_errors])
        self.web_app.on_response_prepare.append(self._close_if_leaving)
        self.runner: web.AppRunner | None = None
        self.web_app.add_routes(
            [
                web.post("/v1/chat/completions", self.post_chat),
                web.get("/v1/streams/{request_id}", self.get_stream),
                web.get("/v1/streams", self.get_stream),
                web.get("/v1/requests/{request_id}", self.get_trace),
                web.get("/v1/models", self.get_models),
                web.get("/v1/models/{name}", self.get_model),
                web.route("*", "/services/{entry}{tail:(/.*)?}", self.call_service),
                web.get("/healthz", self.get_health),
                web.get("/readyz", self.get_ready),
                web.get("/metrics", self.get_metrics),
            ]
        )

    async def start(self) -> None:
        """Start to listen for connections."""
        self.runner = web.AppRunner(
            self.web_app,
            access_log=None,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, self.host, self.port)
        await site.start()
        self.port = self.runner.addresses[0][1]
        logger.info("Listening on {}:{}.", self.host, self.port)

    async def stop(self) -> None:
        """Answer what is left, then close the listening socket and all connections."""
        await self.requests.give_up()
        if self.runner is not None:
            await self.runner.cleanup()

    async def post_chat(self, request: web.Request) -> web.StreamResponse:
        """Answer a chat completion, as a stream or as one document."""
        organisation = self.authenticate(request.headers)
        if LAST_EVENT_HEADER in request.headers:
            return await self.get_stream(request)
        self.requests.check_ready()
        body = await read_body(request, self.requests.parts.options)
        chat = make_chat_request(
            self.requests.parts,
            body,
            request_id=self.requests.new_request_id(),
            organisation=organisation,
            timeout_s=read_request_timeout_s(request),
        )
        request[REQUEST_ID] = chat.request_id
        stream = await self.requests.start_stream(chat)
        return await self.answer_stream(request, stream, 0)

    async def get_stream(self, request: web.Request) -> web.StreamResponse:
        """Re-attach a caller to a stream on this or another instance."""
        organisation = self.authenticate(request.headers)
        request_id, n_tokens = read_stream_position(request)
        request[REQUEST_ID] = request_id
        stream = self.requests.find_stream(request_id)
        if stream is None:
            relay = self.requests.app.services.get("handover")
            if relay is None:
                raise unknown_request(request_id)
            return await relay.relay(request, request_id, n_tokens)
        if stream.request.organisation != organisation:
            raise unknown_request(request_id)
        return await self.answer_stream(request, stream, n_tokens)

    async def answer_stream(
        self, request: web.Request, stream: Stream, n_tokens: int
    ) -> web.StreamResponse:
        """Send an answer as a stream or as one document, as the caller asked."""
        if not stream.request.is_streamed:
            await stream.finished.wait()
            return complete_response(stream)
        response = await send_stream(request, stream, n_tokens)
        if stream.sink is None and not stream.is_done:
            self.requests.cancel_later_if_detached(stream)
        return response

    async def call_service(self, request: web.Request) -> web.StreamResponse:
        """Forward a call to a plain service."""
        organisation = self.authenticate(request.headers)
        self.requests.check_ready()
        entry = request.match_info["entry"]
        find_entry(self.requests.parts, entry, "plain")
        timeout_s = read_request_timeout_s(request)
        key = read_idempotency_key(request)
        body = await read_body(request, self.requests.parts.options)
        path = request.match_info["tail"] or "/"
        if request.query_string:
            path = f"{path}?{request.query_string}"
        call = make_plain_request(
            self.requests.parts,
            entry,
            request_id=self.requests.new_request_id(),
            organisation=organisation,
            method=request.method,
            path=path,
            headers=_forwarded_headers(request.headers),
            body=body,
            key=key,
            timeout_s=timeout_s,
        )
        request[REQUEST_ID] = call.request_id
        answer = await self.requests.call_plain(call)
        trace = self.requests.traces.get(call.request_id)
        return plain_response(answer, call.request_id, trace.cost if trace else 0.0)

    async def get_trace(self, request: web.Request) -> web.StreamResponse:
        """Return the trace of one of the organisation's requests."""
        organisation = self.authenticate(request.headers)
        request_id = request.match_info["request_id"]
        trace = self.requests.traces.get(request_id)
        if trace is None or trace.organisation != organisation:
            raise unknown_request(request_id)
        return json_response(trace)

    async def get_models(self, request: web.Request) -> web.StreamResponse:
        """List the model entries in the format of the models API."""
        self.authenticate(request.headers)
        entries = self.requests.parts.catalogue.content.entries
        models = [
            _model_document(name, entry.owner)
            for name, entry in sorted(entries.items())
            if entry.kind == "model"
        ]
        return json_response({"object": "list", "data": models})

    async def get_model(self, request: web.Request) -> web.StreamResponse:
        """Return one model entry in the format of the models API."""
        self.authenticate(request.headers)
        name = request.match_info["name"]
        entry = find_entry(self.requests.parts, name, "model")
        return json_response(_model_document(name, entry.owner))

    async def get_health(self, request: web.Request) -> web.StreamResponse:
        """Answer 200 while the process runs (liveness probe)."""
        return json_response({"status": "alive"})

    async def get_ready(self, request: web.Request) -> web.StreamResponse:
        """Answer 200 while new requests are accepted (readiness probe)."""
        self.requests.check_ready()
        revision = self.requests.parts.catalogue.revision
        return json_response({"status": "ready", "revision": revision})

    async def get_metrics(self, request: web.Request) -> web.StreamResponse:
        """Return the metrics in the Prometheus text format."""
        body = generate_latest(self.registry)
        return web.Response(body=body, headers={"Content-Type": CONTENT_TYPE_LATEST})

    @web.middleware
    async def _track(
        self, request: web.Request, handler: Callable[[web.Request], Any]
    ) -> web.StreamResponse:
        """Let a drain wait for a request that was accepted before it.

        Later ones are refused or short; counting them would prolong the drain.
        """
        requests = self.requests
        is_counted = not requests.is_leaving
        if is_counted:
            requests.count_started()
        try:
            async with requests.answers.hold(lambda: given_up_error(True)):
                response = await handler(request)
        except OutcomeUnknownError as error:
            if request.writer.output_size:
                raise ConnectionResetError("The answer was begun.") from error
            response = error_response(error, request.get(REQUEST_ID, ""))
        finally:
            if is_counted:
                requests.count_ended()
        if requests.is_leaving:
            response.force_close()
        return response

    async def _close_if_leaving(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        """Tell callers of a leaving instance not to reuse their connections."""
        if self.requests.is_leaving:
            response.force_close()
            response.headers["Connection"] = "close"


@web.middleware
async def _convert_errors(
    request: web.Request, handler: Callable[[web.Request], Any]
) -> web.StreamResponse:
    """Convert errors to responses that state the outcome of the request."""
    try:
        return await handler(request)
    except LagoonringError as error:
        return _answer_error(request, error)
    except web.HTTPException as error:
        if error.status < 400:
            raise
        converted = LagoonringError(
            f"Got {request.method} {request.path[:80]} with status {error.status}, "
            "expected a known path and method.",
            remedy="See the reference of the callers' interface.",
        )
        converted.code = error.reason.lower().replace(" ", "_")
        converted.status = error.status
        return _answer_error(request, converted)
    except ConnectionError:
        raise
    except Exception:
        logger.exception("Request failed.")
        return _answer_error(request, InternalFaultError())


def _answer_error(request: web.Request, error: LagoonringError) -> web.StreamResponse:
    """Return an error as the answer, or abort the answer that has begun.

    A second head would be sent in the middle of the first answer's body.
    """
    if request.writer.output_size == 0:
        return error_response(error, request.get(REQUEST_ID, ""))
    begin_unframed(request)
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionAbortedError(
        f"Got {error.code} after the answer had begun."
    ) from error


def _forwarded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the caller's headers that are forwarded to a plain service."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in UNFORWARDED_HEADERS
    }


def _model_document(name: str, owner: str) -> dict[str, Any]:
    return {"id": name, "object": "model", "created": 0, "owned_by": owner}
