"""Stand-in for a model engine over HTTP, with predictable tokens and faults.

The interface is described in ``docs/design/parts.md``, the faults in
:class:`lagoonring.standins.engine_faults.EngineFaults`.
"""

from __future__ import annotations

import asyncio
from contextlib import aclosing
from typing import Any

import aiohttp
import attrs
import msgspec
from aiohttp import web

from lagoonring.endpoints.messages import EngineOrder
from lagoonring.kernel import Clock
from lagoonring.standins import engine_answers as answers
from lagoonring.standins.engine_core import Batch, EngineError, StreamCutError
from lagoonring.standins.engine_faults import EngineFaults
from lagoonring.standins.engine_kv import KvCopy
from lagoonring.standins.engine_load import LoadReports
from lagoonring.standins.engine_orders import OrderHandler, StaleFencingNumberError
from lagoonring.standins.engine_requests import (
    FaultyRequestError,
    Job,
    answer_faulty,
    parse_job,
)
from lagoonring.standins.fault_counts import consume_fault
from lagoonring.standins.http_server import (
    BODY_LIMIT_BYTES,
    answer_error,
    answer_json,
    answer_not_run,
    read_json,
)
from lagoonring.standins.http_standin import HttpStandin
from lagoonring.standins.options import EngineOptions

HELD_TIMEOUT_S = 10.0
CANCEL_TIMEOUT_S = 1.0


@attrs.frozen(kw_only=True)
class KvImport:
    """Source of a KV cache to import: the other engine's URL and the handle."""

    source_url: str
    handle: str


class EngineStandin(HttpStandin[EngineFaults]):
    """HTTP server of a model engine.

    Parameters
    ----------
    options : EngineOptions or None
        Speeds, sizes and behaviour.
    host, port : str, int
        Where to listen; port 0 lets the system choose.
    clock : Clock or None
        Paces the tokens.
    """

    def __init__(
        self,
        options: EngineOptions | None = None,
        *,
        host: str = "127.0.0.1",
        port: int = 0,
        clock: Clock | None = None,
    ) -> None:
        self.options = options or EngineOptions()
        self.clock = clock or Clock()
        self.batch = Batch(self.options, clock=self.clock, crash=self.crash)
        self.orders = OrderHandler(self.options, clock=self.clock)
        self.load = LoadReports(self.batch, self.orders.state, clock=self.clock)
        app = web.Application(client_max_size=BODY_LIMIT_BYTES)
        routes = [
            web.post("/v1/chat/completions", self._chat),
            web.get("/v1/models", self._models),
            web.post("/requests/{attempt}/cancel", self._cancel),
            web.post("/requests/{attempt}/export", self._export),
            web.post("/kv/import", self._import),
            web.get("/kv/{handle}", self._kv),
            web.get("/load", self._load),
            web.get("/cache/events", self._cache_events),
            web.post("/orders", self._orders),
            web.get("/state", self._state),
            web.get("/counts", self._counts),
            web.get("/held", self._held),
        ]
        super().__init__(app, routes, host=host, port=port)
        self.is_crashing = False

    async def start(self) -> None:
        """Listen and start to sample the load."""
        await super().start()
        self.server.spawn(self.load.run())

    def crash(self) -> None:
        """Clear the memory, reset all connections and refuse new ones for a while.

        If several requests trigger a crash before they are reset, the engine
        crashes only once.
        """
        if self.is_crashing:
            return
        self.is_crashing = True
        self.batch.counts.n_crashes += 1
        self.batch.clear_memory()
        self.server.spawn(self._crash_and_restart())

    def begin(self) -> None:
        """Accept connections, as on a new instance."""
        self.orders.reset()
        self.server.spawn(self.server.accept())

    def end(self) -> None:
        """Reset all connections and refuse new ones, as the instance has ended."""
        self.batch.clear_memory()
        self.server.spawn(self.server.crash(None))

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        versions = self.orders.state.versions
        default_version = versions[0] if versions else ""
        try:
            job = parse_job(body, request.headers, default_version=default_version)
        except FaultyRequestError as error:
            return answer_faulty(error)
        refusal = self._refuse(job)
        if refusal is not None:
            return refusal
        job.transport = request.transport
        if consume_fault(self.batch.faults, "n_late"):
            await self.clock.sleep(self.batch.faults.late_s)
        job = await self.batch.swap_answer(job)
        if job.is_streamed:
            return await self._stream(request, job)
        return await self._answer_whole(request, job)

    def _refuse(self, job: Job) -> web.Response | None:
        state = self.orders.state
        if state.leaving:
            self.batch.counts.n_requests_while_leaving += 1
        if job.version not in state.versions:
            known = ", ".join(state.versions)
            text = f"Got version {job.version!r}, expected one of: {known}."
            return answer_not_run("version_not_loaded", text)
        if consume_fault(self.batch.faults, "n_refused"):
            return answer_not_run("refused", "Got a fault on command.")
        if self.batch.slots.n_waiting >= self.options.n_waiting_most:
            return answer_not_run("queue_full", "Got a full queue.")
        return None

    async def _stream(self, request: web.Request, job: Job) -> web.StreamResponse:
        response = web.StreamResponse(headers=_id_headers(job))
        response.content_type = "text/event-stream"
        encode_token_events = answers.make_event_encoder(job)
        try:
            async with aclosing(self.batch.run(job)) as ranges:
                async for start, stop in ranges:
                    if not response.prepared:
                        await response.prepare(request)
                    await response.write(encode_token_events(start, stop))
        except EngineError as error:
            return answer_error("engine_error", str(error), status=500)
        except StreamCutError:
            return await _cut_stream(request, response)
        if not response.prepared:
            await response.prepare(request)
        await response.write(answers.make_end_events(job))
        await response.write_eof()
        return response

    async def _answer_whole(self, request: web.Request, job: Job) -> web.Response:
        try:
            async with aclosing(self.batch.run(job)) as ranges:
                async for _ in ranges:
                    pass
        except EngineError as error:
            return answer_error("engine_error", str(error), status=500)
        except StreamCutError:
            _close(request)
        return web.Response(
            body=answers.make_completion(job),
            content_type="application/json",
            headers=_id_headers(job),
        )

    async def _models(self, request: web.Request) -> web.Response:
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "standin"}
            for name in self.orders.state.versions
        ]
        return answer_json({"object": "list", "data": models})

    async def _cancel(self, request: web.Request) -> web.Response:
        job = self._find(request)
        if job.transport is not None:
            job.transport.close()
        async with asyncio.timeout(CANCEL_TIMEOUT_S):
            await job.ended.wait()
        return answer_json({"cancelled": True, "n_tokens": job.n_sent})

    async def _export(self, request: web.Request) -> web.Response:
        copy = self.batch.kv.export(self._find(request))
        await self.clock.sleep(0)
        return answer_json(copy)

    async def _import(self, request: web.Request) -> web.Response:
        kv_import = await read_json(request, KvImport)
        url = f"{kv_import.source_url.rstrip('/')}/kv/{kv_import.handle}"
        try:
            async with (
                aiohttp.ClientSession(raise_for_status=True) as session,
                session.get(url) as answer,
            ):
                copy = msgspec.json.decode(await answer.read(), type=KvCopy)
        except (aiohttp.ClientError, msgspec.MsgspecError, ValueError) as error:
            return answer_error("source_failed", repr(error), status=502)
        imported = await self.batch.kv.import_copy(copy)
        return answer_json({"handle": imported.handle, "n_tokens": imported.n_tokens})

    async def _kv(self, request: web.Request) -> web.Response:
        copy = self.batch.kv.copies.get(request.match_info["handle"])
        if copy is None:
            return answer_error("unknown_handle", "Got no such handle.", status=404)
        return answer_json(copy)

    async def _load(self, request: web.Request) -> web.Response:
        return answer_json(self.load.read())

    async def _cache_events(self, request: web.Request) -> web.Response:
        from_seq = _read_number(request, "from", 0)
        return answer_json(self.batch.cache.read_events(from_seq))

    async def _orders(self, request: web.Request) -> web.Response:
        order = await read_json(request, EngineOrder)
        try:
            self.orders.check(order)
        except StaleFencingNumberError as error:
            return answer_error("fenced", str(error), status=409)
        self.server.spawn(self.orders.apply(order))
        await asyncio.sleep(0)
        return answer_json({"accepted": True})

    async def _state(self, request: web.Request) -> web.Response:
        return answer_json(self.orders.state)

    async def _counts(self, request: web.Request) -> web.Response:
        return answer_json(self.batch.counts)

    async def _held(self, request: web.Request) -> web.Response:
        n = _read_number(request, "n", 1)
        try:
            async with asyncio.timeout(HELD_TIMEOUT_S):
                await self.batch.wait_until_held(n)
        except TimeoutError:
            return answer_error("not_held", "Got too few streams held.", status=408)
        return answer_json({"n_held": self.batch.n_held})

    def find_faults(self) -> EngineFaults:
        """Return the faults in force, which are stored in the batch."""
        return self.batch.faults

    async def set_faults(self, faults: EngineFaults) -> None:
        """Put faults in force; start a crash or refusal if requested."""
        self.batch.set_faults(faults)
        if faults.crash_now:
            faults.crash_now = False
            self.server.spawn(self._crash_soon())
        if faults.refuse_s > 0:
            duration_s, faults.refuse_s = faults.refuse_s, 0.0
            await self.server.refuse(duration_s)

    async def _crash_and_restart(self) -> None:
        restart_s = self.batch.faults.restart_s
        await self.server.crash(restart_s)
        await asyncio.sleep(restart_s)
        self.is_crashing = False

    async def _crash_soon(self) -> None:
        """Crash after a delay in which the request for it can be answered."""
        await asyncio.sleep(0.01)
        self.crash()

    def _find(self, request: web.Request) -> Job:
        job = self.batch.jobs.get(request.match_info["attempt"])
        if job is None:
            raise web.HTTPNotFound(text="Got no such attempt in progress.")
        return job


def _id_headers(job: Job) -> dict[str, str]:
    return {
        "X-Request-Id": job.request_id,
        "X-Attempt-Id": job.attempt_id,
        "X-Version": job.version,
    }


async def _cut_stream(request: web.Request, response: web.StreamResponse) -> Any:
    if not response.prepared:
        await response.prepare(request)
    _close(request)
    return response


def _close(request: web.Request) -> None:
    """Close the connection after flushing the data already written."""
    if request.transport is not None:
        request.transport.close()


def _read_number(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name, str(default))
    try:
        return int(text)
    except ValueError:
        raise web.HTTPBadRequest(
            text=f"Got {name}={text}, expected a number."
        ) from None
