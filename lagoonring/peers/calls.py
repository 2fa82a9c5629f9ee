"""Calls of methods of other instances."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import attrs

from lagoonring.errors import LagoonringError, Outcome
from lagoonring.logs.logger import make_logger
from lagoonring.peers.errors import PeerCallError, answer_lost, unreachable
from lagoonring.peers.messages import Answer, AnswerStatus, Call, MessageKind

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from lagoonring.peers.channel import Channel
    from lagoonring.peers.frames import Envelope
    from lagoonring.peers.messages import MemberRecord

    CallHandler = Callable[[str, bytes], Awaitable[bytes]]

Answered = tuple[Answer, int]

logger = make_logger("peers")


@attrs.define
class OpenCall:
    """A call without an answer yet.

    ``future`` gets the answer and the incarnation that gave it, or None if the
    call was not sent.
    """

    instance: str
    future: asyncio.Future[Answered | None]


class Calls:
    """Both ends of calls between instances.

    Parameters
    ----------
    channel : Channel
        Carries calls and answers.
    n_most : int
        Calls of others that are handled at one time; more are not run.
    """

    def __init__(self, channel: Channel, *, n_most: int) -> None:
        self.channel = channel
        self.n_most = n_most
        self.handlers: dict[str, CallHandler] = {}
        self.open: dict[int, OpenCall] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.call_ids = itertools.count(1)
        channel.handlers[MessageKind.CALL] = self.receive_call
        channel.handlers[MessageKind.ANSWER] = self.receive_answer

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
                answer, incarnation = await self._ask(record, method, payload)
                if answer.status == AnswerStatus.OTHER_LIFE and not record.incarnation:
                    record = attrs.evolve(record, incarnation=incarnation)
                    answer, _ = await self._ask(record, method, payload)
        except TimeoutError:
            raise answer_lost(record.instance, method, timeout_s) from None
        return _unwrap(answer, record.instance, method)

    async def _ask(
        self, record: MemberRecord, method: str, payload: bytes
    ) -> tuple[Answer, int]:
        """Return the answer of a life of an instance, and which life answered."""
        call_id = next(self.call_ids)
        message = Call(
            call_id, record.incarnation, self.channel.me.address, method, payload
        )
        content = self.channel.encode(MessageKind.CALL, message)
        future = asyncio.get_running_loop().create_future()
        self.open[call_id] = OpenCall(record.instance, future)
        try:
            self.channel.post(
                record.instance,
                record.address,
                MessageKind.CALL,
                content,
                lambda: _settle(future, None),
            )
            answered = await future
        finally:
            del self.open[call_id]
        if answered is None:
            raise unreachable(record.instance, "no connection")
        return answered

    async def run_here(self, sender: str, method: str, payload: bytes) -> bytes:
        """Run a method of this instance.

        Raises
        ------
        PeerUnreachableError
            If the method is not served.
        """
        handler = self.handlers.get(method)
        if handler is None:
            raise unreachable(self.channel.me.instance, f"unknown method {method!r}")
        return await handler(sender, payload)

    def receive_call(self, envelope: Envelope, call: Call) -> None:
        """Handle a call of another instance in a task of its own."""
        self.channel.note_address(envelope.sender, call.address)
        refusal = self._refuse(call)
        if refusal is not None:
            self._answer(envelope.sender, call.address, refusal)
            return
        task = asyncio.create_task(
            self._handle(envelope.sender, call), name=f"call {call.method}"
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def receive_answer(self, envelope: Envelope, answer: Answer) -> None:
        """Settle the call that an answer belongs to; late ones are ignored."""
        open_call = self.open.get(answer.call_id)
        if open_call is not None and open_call.instance == envelope.sender:
            _settle(open_call.future, (answer, envelope.incarnation))

    async def stop(self) -> None:
        """Cancel the handlers in progress."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _refuse(self, call: Call) -> Answer | None:
        """Return the answer to a call that must not be run, else None."""
        status = AnswerStatus.NOT_RUN
        if call.incarnation != self.channel.me.incarnation:
            status = AnswerStatus.OTHER_LIFE
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
            content = await self.run_here(sender, call.method, call.payload)
            answer = Answer(call.call_id, AnswerStatus.OK, content)
        except LagoonringError as error:
            answer = _describe(call, error.code, error.message, error)
        except Exception as error:
            logger.exception("Call {} of {} failed.", call.method, sender)
            answer = _describe(call, "internal", repr(error), None)
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


def _describe(
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
    if answer.status in (AnswerStatus.NOT_RUN, AnswerStatus.OTHER_LIFE):
        raise unreachable(instance, answer.message)
    outcomes = {outcome.value: outcome for outcome in Outcome}
    raise PeerCallError(
        f"Got error {answer.code} of instance {instance} to {method}: {answer.message}",
        remote_code=answer.code,
        outcome=outcomes.get(answer.outcome, Outcome.UNKNOWN),
        remedy=answer.remedy,
    )


def _settle(future: asyncio.Future[Answered | None], answered: Answered | None) -> None:
    if not future.done():
        future.set_result(answered)
