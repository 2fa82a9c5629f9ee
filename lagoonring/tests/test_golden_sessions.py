"""Compares transcripts of sessions with golden files.

Barriers control the order of events.
"""

from __future__ import annotations

from lagoonring.standins.engine_faults import EngineFaults
from lagoonring.tests.builders.barriers import (
    release_all,
    wait_for_members,
    wait_until,
)
from lagoonring.tests.builders.callers import ask, ask_and_hold, attach
from lagoonring.tests.builders.deployments import (
    OPERATOR_TOKEN,
    Deployment,
    headers_of,
    run_deployment,
)
from lagoonring.tests.builders.transcripts import Transcript

N_TOKENS = 12
HOLD_AT_TOKEN = 5
QUESTION = "when are the turtles fed"


async def test_stream_cut_at_the_third_token():
    transcript = Transcript()
    async with run_deployment(n_engines=3) as deployment:
        transcript.watch_endpoints(deployment)
        for engine in deployment.engines.values():
            engine.batch.set_faults(EngineFaults(n_cut=1, cut_at_token=3))
        caller = await ask(deployment, QUESTION, N_TOKENS)
        transcript.show_answer("caller", caller)
    transcript.check("stream-cut")


async def test_endpoint_reclaimed_with_notice():
    transcript = Transcript()
    entry = {"requests": {"kv_tokens_least": 0}}
    async with run_deployment(n_engines=2, entry=entry) as deployment:
        transcript.watch_endpoints(deployment)
        async with ask_and_hold(
            deployment, QUESTION, N_TOKENS, n_before=HOLD_AT_TOKEN
        ) as held:
            caller = held.caller
            app = deployment.entries[0]
            app.find("routing").leaving(held.endpoint)
            name = transcript.name("endpoint", held.endpoint)
            transcript.say("cloud", f"notice for {name}")
            app.find("requests").endpoint_leaving(held.endpoint, 5.0)
            stream = next(iter(app.find("requests").streams.values()))
            await wait_until(lambda: stream.endpoint != held.endpoint)
            release_all(deployment)
            await held.asking
            transcript.show_answer("caller", caller)
            second = await ask(deployment, QUESTION, 3)
            transcript.show_answer("caller", second)
    transcript.check("endpoint-reclaimed")


async def test_entry_instance_reclaimed():
    transcript = Transcript()
    entry = {"requests": {"handover_margin_s": 1.0}}
    async with run_deployment(n_entries=3, n_engines=1, entry=entry) as deployment:
        transcript.watch_endpoints(deployment)
        await wait_for_members(deployment)
        async with ask_and_hold(
            deployment, QUESTION, N_TOKENS, n_before=HOLD_AT_TOKEN
        ) as held:
            caller = held.caller
            await deployment.entries[0].drain(1.0)
            await held.asking
            transcript.show_answer("caller", caller)
            await deployment.entries[0].stop()
            handover = deployment.entries[1].find("handover")
            await wait_until(lambda: handover.holders(caller.request_id))
            release_all(deployment)
            await attach(deployment, caller, entry=1)
            transcript.show_answer("caller", caller)
    transcript.check("entry-reclaimed")


async def test_operators_race_for_one_item():
    transcript = Transcript()
    async with run_deployment(n_entries=2) as deployment:
        await wait_for_members(deployment)
        revision = deployment.entries[0].find("catalogue").revision
        for number, weight in enumerate((2.0, 3.0)):
            change = {
                "section": "organisations",
                "name": "ngor",
                "item": {"weight": weight},
            }
            order = {
                "edit_id": f"edit-{number}",
                "base_revision": revision,
                "changes": [change],
            }
            status, answer = await operate(deployment, number, "POST", "config", order)
            line = f"weight {weight} through entry-{number}: {status} {answer}"
            transcript.say(f"operator {number + 1}", line)
        for index, app in enumerate(deployment.entries):
            catalogue = app.find("catalogue")
            await wait_until(lambda c=catalogue: c.revision == revision + 1)
            weight = catalogue.content.organisations["ngor"].weight
            transcript.say(f"entry-{index}", f"weight of ngor: {weight}")
        transcript.show_log(deployment.log, "config")
    transcript.check("operators-race")


async def operate(
    deployment: Deployment, entry: int, method: str, path: str, order: dict
) -> tuple[int, str]:
    """Send an order to the administration API; return status and code."""
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    url = f"{deployment.url(entry)}/admin/{path}"
    async with deployment.session.request(
        method, url, json=order, headers=headers
    ) as answer:
        document = await answer.json()
        error = document.get("error", {})
        return answer.status, error.get("code") or str(document)


async def test_booking_resent_through_another_instance():
    transcript = Transcript()
    async with run_deployment(n_entries=3, n_engines=0) as deployment:
        await wait_for_members(deployment)
        service = deployment.services["booking-0"]
        for number, entry in enumerate((0, 1, 2)):
            status, line = await book(deployment, entry, key="k1", seats=2)
            transcript.say("caller", f"booking k1 through entry-{entry}: {line}")
            transcript.say("service", f"runs after resend {number}: {service.n_runs}")
        status, line = await book(deployment, 0, key="k1", seats=3)
        transcript.say("caller", f"key k1 for another booking: {line}")
        deployment.log.faults.is_out = True
        status, line = await book(deployment, 1, key="k2", seats=1)
        transcript.say("caller", f"booking k2 while the log is out: {line}")
        transcript.say("service", f"runs while the log is out: {service.n_runs}")
        deployment.log.faults.is_out = False
        while status != 200:
            status, line = await book(deployment, 2, key="k2", seats=1)
        transcript.say("caller", f"booking k2 once the log is back: {line}")
        transcript.say("service", f"runs at the end: {service.n_runs}")
    transcript.check("booking-resent")


async def book(
    deployment: Deployment, entry: int, *, key: str, seats: int
) -> tuple[int, str]:
    """Book seats; return the status and a summary of the answer."""
    url = f"{deployment.url(entry)}/services/booking/bookings"
    headers = headers_of(**{"Idempotency-Key": key})
    async with deployment.session.post(
        url, json={"seats": seats}, headers=headers
    ) as answer:
        document = await answer.json()
        if "error" in document:
            error = document["error"]
            retry = "with" if error["retry_after_s"] else "without"
            outcome = f"{error['code']}, {error['outcome']}, {retry} Retry-After"
            return answer.status, f"{answer.status} {outcome}"
        replayed = "replayed" if "X-Replayed" in answer.headers else "run"
        run = document["run"]
        return answer.status, f"{answer.status} {replayed}, run number {run}"
