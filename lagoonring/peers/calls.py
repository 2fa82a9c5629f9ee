"""Remote method calls between entry instances."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import attrs

from lagoonring.errors import LagoonringError, Outcome
from lagoonring.logs.logger import make_logger
from lagoonring.peers.errors import PeerCallError, answer_lost_error, unreachable_error
from lagoonring.peers.messages import Answer, AnswerStatus, Call, MessageKind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lagoonring.peers.channel import Channel
    from lagoonring.peers.frames import Envelope
    from lagoonring.peers.messages import MemberRecord

    CallHandler = Callable[[str, bytes], Awaitable[bytes]]

ReceivedAnswer = tuple[Answer, int]

logger = make_logger("peers")


@attrs.define
class PendingCall:
    """A call that has not been answered yet.

    ``future`` resolves to the answer and the incarnation that sent it, or to None
    if the call was not sent.
    """

    instance: str
    future: asyncio.Future[ReceivedAnswer | None]


class Calls:
    """Client and server sides of calls between instances.

    Parameters
    ----------
    channel : Channel
        Transports calls and answers.
    n_most : int
        Maximum number of incoming calls handled concurrently; further calls are
        refused without being run.
    """

    def __init__(self, channel: Channel, *, n_most: int) -> None:
        self.channel = channel
        self.n_most = n_most
        self.handlers: dict[str, CallHandler] = {}
        self.pending: dict[int, PendingCall] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.call_ids = itertools.count(1)
        channel.handlers[MessageKind.CALL] = self.handle_call
        channel.handlers[MessageKind.ANSWER] = self.handle_answer

    async def call(
        self, record: MemberRecord, method: str, payload: bytes, *, timeout_s: float
    ) -> bytes:
        """Run a method on another instance and return its answer.

        Raises
        ------
        PeerUnreachableError
            If the method was provably not run.
        PeerAnswerLostError
            If it may have been run.
        PeerCallError
            If the method raised an error there.
        """
        try:
            async with asyncio.timeout(timeout_s):
                answer, incarnation = await self._send_call(record, method, payload)
                if (
                    answer.status == AnswerStatus.WRONG_INCARNATION
                    and not record.incarnation
                ):
                    record = attrs.evolve(record, incarnation=incarnation)
                    answer, _ = await self._send_call(record, method, payload)
        except TimeoutError:
            raise answer_lost_error(record.instance, method, timeout_s) from None
        return _unwrap(answer, record.instance, method)

    async def _send_call(
        self, record: MemberRecord, method: str, payload: bytes
    ) -> tuple[Answer, int]:
        """Send a call; return the answer and the incarnation that sent it."""
        call_id = next(self.call_ids)
        message = Call(
            call_id, record.incarnation, self.channel.me.address, method, payload
        )
        content = self.channel.encode(MessageKind.CALL, message)
        future = asyncio.get_running_loop().create_future()
        self.pending[call_id] = PendingCall(record.instance, future)
        try:
            self.channel.post(
                record.instance,
                record.address,
                MessageKind.CALL,
                content,
                lambda: _resolve(future, None),
            )
            received = await future
        finally:
            del self.pending[call_id]
        if received is None:
            raise unreachable_error(record.instance, "no connection")
        return received

    async def run_locally(self, sender: str, method: str, payload: bytes) -> bytes:
        """Run a method registered on this instance.

        Raises
        ------
        PeerUnreachableError
            If no handler is registered for the method.
        """
        handler = self.handlers.get(method)
        if handler is None:
            raise unreachable_error(
                self.channel.me.instance, f"unknown method {method!r}"
            )
        return await handler(sender, payload)

    def handle_call(self, envelope: Envelope, call: Call) -> None:
        """Handle a call from another instance in a separate task."""
        self.channel.record_address(envelope.sender, call.address)
        refusal = self._make_refusal(call)
        if refusal is not None:
            self._answer(envelope.sender, call.address, refusal)
            return
        task = asyncio.create_task(
            self._handle(envelope.sender, call), name=f"call {call.method}"
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def handle_answer(self, envelope: Envelope, answer: Answer) -> None:
        """Resolve the call that an answer belongs to; ignore answers to ended calls."""
        pending_call = self.pending.get(answer.call_id)
        if pending_call is not None and pending_call.instance == envelope.sender:
            _resolve(pending_call.future, (answer, envelope.incarnation))

    async def stop(self) -> None:
        """Cancel all running handlers."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _make_refusal(self, call: Call) -> Answer | None:
        """Return the answer that refuses a call, or None if the call may be run."""
        status = AnswerStatus.NOT_RUN
        if call.incarnation != self.channel.me.incarnation:
            status = AnswerStatus.WRONG_INCARNATION
            reason = f"incarnation {call.incarnation} that has ended"
        elif call.method not in self.handlers:
            reason = f"unknown method {call.method!r}"
        elif len(self.tasks) >= self.n_most:
            reason = f"{self.n_most} calls in progress"
        else:
            return None
        return Answer(call.call_id, status, b"", message=reason)

    async def _handle(self, sender: str, call: Call) -> None:
        try:
            content = await self.run_locally(sender, call.method, call.payload)
            answer = Answer(call.call_id, AnswerStatus.OK, content)
        except LagoonringError as error:
            answer = _make_failed_answer(call, error.code, error.message, error)
        except Exception as error:
            logger.exception("Handler of call {} from {} failed.", call.method, sender)
            answer = _make_failed_answer(call, "internal", repr(error), None)
        self._answer(sender, call.address, answer)

    def _answer(self, instance: str, address: str, answer: Answer) -> None:
        try:
            content = self.channel.encode(MessageKind.ANSWER, answer)
        except LagoonringError as error:
            failed = Answer(
                answer.call_id,
                AnswerStatus.FAILED,
                b"",
                error.code,
                error.message,
                error.remedy,
                Outcome.RUN.value,
            )
            content = self.channel.encode(MessageKind.ANSWER, failed)
        self.channel.post(instance, address, MessageKind.ANSWER, content)


def _make_failed_answer(
    call: Call, code: str, message: str, error: LagoonringError | None
) -> Answer:
    remedy = error.remedy if error else "See the log of the instance called."
    outcome = error.outcome if error else Outcome.UNKNOWN
    return Answer(
        call.call_id, AnswerStatus.FAILED, b"", code, message, remedy, outcome.value
    )


def _unwrap(answer: Answer, instance: str, method: str) -> bytes:
    if answer.status == AnswerStatus.OK:
        return answer.payload
    if answer.status in (AnswerStatus.NOT_RUN, AnswerStatus.WRONG_INCARNATION):
        raise unreachable_error(instance, answer.message)
    outcomes = {outcome.value: outcome for outcome in Outcome}
    raise PeerCallError(
        f"Got error {answer.code} of instance {instance} to {method}: {answer.message}",
        remote_code=answer.code,
        outcome=outcomes.get(answer.outcome, Outcome.UNKNOWN),
        remedy=answer.remedy,
    )


def _resolve(
    future: asyncio.Future[ReceivedAnswer | None], received: ReceivedAnswer | None
) -> None:
    if not future.done():
        future.set_result(received)
