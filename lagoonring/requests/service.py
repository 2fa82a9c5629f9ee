"""The service that accepts requests and runs and retains their streams."""

from __future__ import annotations

import asyncio
import contextlib
from collections import OrderedDict
from typing import TYPE_CHECKING

from lagoonring.errors import LagoonringError
from lagoonring.kernel import BaseService
from lagoonring.limits.messages import AdmitRequest
from lagoonring.logs import make_logger
from lagoonring.requests.errors import (
    NotReadyError,
    correct_outcome,
    given_up_error,
    leaving_error,
)
from lagoonring.requests.interrupts import Interrupts
from lagoonring.requests.plain import PlainRun, run_plain
from lagoonring.requests.producer import produce
from lagoonring.requests.stream_moves import move_stream
from lagoonring.requests.streams import Stream
from lagoonring.requests.traces import Trace, Traces, trace_of_stream

if TYPE_CHECKING:
    from lagoonring.limits.messages import Permit
    from lagoonring.requests.messages import ChatRequest, PlainAnswer, PlainRequest
    from lagoonring.requests.parts import RequestParts

NOT_READY_RETRY_AFTER_S = 1.0
MAX_ANSWER_S = 1.0  # to write the final answers of requests that were given up

logger = make_logger("requests")


class RequestsService(BaseService):
    """Runs requests and stores streams by request id.

    Parameters
    ----------
    parts : RequestParts
        Services and functions that handle requests.
    instance : str
        Name of this instance; request ids begin with it.

    Attributes
    ----------
    queued, calls, answers : Interrupts
        Requests that wait to be admitted, calls of plain services in progress, and
        HTTP requests that are not answered yet.
    """

    name = "requests"

    def __init__(self, parts: RequestParts, *, instance: str) -> None:
        self.parts = parts
        self.app = parts.app
        self.instance = instance
        self.streams: dict[str, Stream] = {}
        self.finished_streams: OrderedDict[str, Stream] = OrderedDict()
        self.n_finished_bytes = 0
        self.traces = Traces(parts.options.n_traces)
        self.n_in_progress = 0
        self.idle = asyncio.Event()
        self.idle.set()
        self.is_leaving = False
        self.queued = Interrupts()
        self.calls = Interrupts()
        self.answers = Interrupts()

    def new_request_id(self) -> str:
        """Return a new id, which begins with the name of this instance."""
        return f"{self.instance}.{self.app.rng.getrandbits(64):016x}"

    def check_ready(self) -> None:
        """Raise NotReadyError unless this instance accepts new requests."""
        if self.is_leaving:
            raise leaving_error()
        if self.parts.catalogue.revision < 0:
            raise NotReadyError(
                "Got an instance that is without a catalogue, expected a ready one.",
                remedy="Send the request again; another instance takes it.",
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )

    def leave(self) -> None:
        """Accept no new requests and refuse those that wait to be admitted."""
        self.is_leaving = True
        self.queued.interrupt_all()

    async def admit(self, request: ChatRequest | PlainRequest) -> Permit:
        """Wait until a request is admitted; refuse it once this instance leaves."""
        self.check_ready()
        self.parts.retries.check(request.fingerprint)
        async with self.queued.hold(leaving_error):
            return await self.parts.limits.admit(_admit_request(request))

    async def start_stream(self, request: ChatRequest) -> Stream:
        """Admit a request and start to produce its answer.

        Raises
        ------
        NotReadyError, QuarantinedError, RefusedError
            If the request is not admitted; it was not run.
        """
        permit = await self.admit(request)
        self.parts.metrics.streams.inc()
        return self.run_stream(Stream(request=request, permit=permit))

    def run_stream(self, stream: Stream) -> Stream:
        """Start the task that produces a stream."""
        stream.started_s = self.app.clock.monotonic()
        self.streams[stream.request.request_id] = stream
        self.count_started()
        stream.task = asyncio.create_task(self._produce(stream))
        return stream

    async def pause_stream(self, stream: Stream) -> None:
        """Stop a stream's attempt but not the stream, so that it can be handed over.

        The journal is kept.
        """
        stream.is_paused = True
        if stream.task is not None:
            stream.task.cancel()
            await asyncio.gather(stream.task, return_exceptions=True)

    def resume_stream(self, stream: Stream) -> None:
        """Resume a paused stream on this instance."""
        stream.is_paused = False
        stream.is_moving = False
        stream.task = asyncio.create_task(self._produce(stream))

    def cancel_later_if_detached(self, stream: Stream) -> None:
        """Cancel a stream after the grace period if no caller is attached by then."""
        loop = asyncio.get_running_loop()
        grace_s = self.parts.options.detached_grace_s
        loop.call_later(grace_s, self._cancel_if_detached, stream)

    async def call_plain(self, request: PlainRequest) -> PlainAnswer:
        """Admit and run a call of a plain service."""
        permit = await self.admit(request)
        run = PlainRun(request=request)
        started_s = self.app.clock.monotonic()
        outcome = "internal"
        answer = None
        self.count_started()
        try:
            async with self.calls.hold(lambda: given_up_error(run.may_have_run)):
                answer = await run_plain(self.parts, run)
            outcome = "replayed" if answer.replayed else "ok"
            return answer
        except LagoonringError as error:
            outcome = error.code
            correct_outcome(error, may_have_run=run.may_have_run)
            raise
        finally:
            self.count_ended()
            permit.release(0)
            endpoint = answer.endpoint if answer else ""
            elapsed_s = self.app.clock.monotonic() - started_s
            self._finish_plain(run, outcome, endpoint, elapsed_s)

    def finish_stream(self, stream: Stream) -> None:
        """Charge, retain and trace a stream that has ended."""
        request = stream.request
        if not stream.is_done:
            stream.end(given_up_error(stream.may_have_run))
        self.streams.pop(request.request_id, None)
        self.count_ended()
        if stream.permit is not None:
            stream.permit.release(stream.journal.n_tokens)
            self.parts.metrics.streams.dec()
        code = stream.error.code if stream.error else "ok"
        if stream.may_charge and not stream.handed_to:
            self.charge_stream(stream)
        self._retain(stream)
        self.parts.metrics.requests.labels(request.entry, code).inc()
        self.parts.metrics.tokens.labels(request.entry).inc(stream.journal.n_tokens)
        if stream.first_token_s is not None:
            first_token = self.parts.metrics.first_token.labels(request.entry)
            first_token.observe(stream.first_token_s)
        elapsed_s = self.app.clock.monotonic() - stream.started_s
        self.traces.add(trace_of_stream(stream, outcome=code, elapsed_s=elapsed_s))

    def charge_stream(self, stream: Stream) -> None:
        """Charge a complete answer; failed streams are free."""
        request = stream.request
        entry = self.parts.catalogue.content.entries.get(request.entry)
        if stream.error is not None or entry is None:
            return
        n_tokens = stream.journal.n_tokens
        stream.cost = n_tokens * entry.price_per_1000_tokens / 1000
        stream.cost += entry.price_per_request
        self.parts.charges.add(
            request.organisation, request.entry, n_tokens, stream.cost
        )

    def find_stream(self, request_id: str) -> Stream | None:
        """Return a stream that is in progress or finished and still retained."""
        return self.streams.get(request_id) or self.finished_streams.get(request_id)

    def endpoint_leaving(self, endpoint: str, seconds_left: float) -> None:
        """Move all streams away from an endpoint that is about to stop."""
        for stream in list(self.streams.values()):
            if stream.endpoint == endpoint and not stream.is_moving:
                move = move_stream(self.parts, stream, seconds_left)
                self.parts.run_in_background(move)

    async def drain(self, grace_s: float) -> None:
        """Refuse new requests, wait for those in progress, give up the rest."""
        self.leave()
        try:
            async with asyncio.timeout(grace_s):
                await self.idle.wait()
                await asyncio.gather(*self.parts.background, return_exceptions=True)
        except TimeoutError:
            logger.warning(
                "Requests still in progress after the grace period: {}.",
                self.n_in_progress,
            )
            await self.give_up()

    async def give_up(self) -> None:
        """End all requests in progress with an error that states their outcome."""
        self.leave()
        self.calls.interrupt_all()
        for stream in list(self.streams.values()):
            await self.pause_stream(stream)
            if stream.request.request_id in self.streams:
                self.finish_stream(stream)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MAX_ANSWER_S):
                await self.idle.wait()
        self.answers.interrupt_all()
        if self.parts.background:
            await asyncio.wait(self.parts.background, timeout=MAX_ANSWER_S)

    async def stop(self) -> None:
        """Cancel the remaining streams and background tasks."""
        tasks = [stream.task for stream in self.streams.values() if stream.task]
        for task in [*tasks, *self.parts.background]:
            task.cancel()
        await asyncio.gather(*tasks, *self.parts.background, return_exceptions=True)

    async def _produce(self, stream: Stream) -> None:
        try:
            await produce(self.parts, stream)
        finally:
            if not stream.is_paused:
                self.finish_stream(stream)

    def _cancel_if_detached(self, stream: Stream) -> None:
        if stream.sink is None and not stream.is_done and stream.task is not None:
            stream.task.cancel()

    def _retain(self, stream: Stream) -> None:
        """Retain a finished stream for callers that lost their connection."""
        options = self.parts.options
        self.finished_streams[stream.request.request_id] = stream
        self.n_finished_bytes += stream.journal.n_bytes
        oldest_s = self.app.clock.monotonic() - options.keep_answers_s
        while self.finished_streams:
            first = next(iter(self.finished_streams.values()))
            is_old = first.ended_s < oldest_s
            if not is_old and self.n_finished_bytes <= options.kept_answers_bytes:
                return
            self.finished_streams.popitem(last=False)
            self.n_finished_bytes -= first.journal.n_bytes

    def _finish_plain(
        self, run: PlainRun, outcome: str, endpoint: str, elapsed_s: float
    ) -> None:
        """Charge, count and trace a call that has ended."""
        request = run.request
        cost = self._charge_plain(request, outcome)
        self.parts.metrics.requests.labels(request.entry, outcome).inc()
        self.traces.add(
            Trace(
                request_id=request.request_id,
                organisation=request.organisation,
                entry=request.entry,
                outcome=outcome,
                endpoint=endpoint,
                elapsed_s=elapsed_s,
                cost=cost,
                decisions=run.decisions,
            )
        )

    def _charge_plain(self, request: PlainRequest, outcome: str) -> float:
        entry = self.parts.catalogue.content.entries.get(request.entry)
        if outcome != "ok" or entry is None:
            return 0.0
        cost = entry.price_per_request
        self.parts.charges.add(request.organisation, request.entry, 0, cost)
        return cost

    def count_started(self) -> None:
        """Count a piece of work that a drain waits for."""
        self.n_in_progress += 1
        self.idle.clear()

    def count_ended(self) -> None:
        """Count the end of a piece of work that a drain waits for."""
        self.n_in_progress -= 1
        if self.n_in_progress == 0:
            self.idle.set()


def _admit_request(request: ChatRequest | PlainRequest) -> AdmitRequest:
    return AdmitRequest(
        organisation=request.organisation,
        entry=request.entry,
        service_class=request.service_class,
        n_tokens_most=getattr(request, "n_tokens_most", 0),
        deadline_s=request.deadline_s,
    )
