"""Tests of the administration API on deployments within one process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import pytest

from lagoonring.administration.service import REFUSALS_INTERVAL_S
from lagoonring.audit.messages import STREAM
from lagoonring.catalogue.errors import ConflictError
from lagoonring.moves.options import MovesOptions
from lagoonring.moves.schedule import least_time_s
from lagoonring.tests.builders.barriers import wait_for_members
from lagoonring.tests.builders.deployments import (
    KEYS,
    chat_body,
    headers_of,
    run_deployment,
)
from lagoonring.tests.builders.operators import (
    TOKENS,
    ask,
    make_edit,
    make_sections,
    wait_for_audit,
)

if TYPE_CHECKING:
    from lagoonring.catalogue.edits import Edit

MIN_DEADLINE_S = least_time_s(MovesOptions())
READS = ("config", "config/history", "moves", "fleet", "peers", "audit")
ORDER = {
    "move_id": "m",
    "entry": "guide",
    "to_version": "2",
    "deadline_in_s": MIN_DEADLINE_S + 600,
}


async def test_roles_are_enforced_and_refusals_are_audited():
    async with run_deployment(sections=make_sections()) as deployment:
        for path in READS:
            assert (await ask(deployment, "GET", path, role="viewer"))[0] == 200
            status, answer = await ask(deployment, "GET", path, role="no-token")
            assert (status, answer["error"]["code"]) == (401, "wrong_token")
        _, shown = await ask(deployment, "GET", "config")
        limits = shown["content"]["classes"]["desk"] | {"priority": 3}
        hann = shown["content"]["organisations"]["hann"] | {"weight": 2.0}
        cases = [
            ("viewer", "desk", ("classes", "desk", limits), 403),
            ("operator", "hann", ("organisations", "hann", hann), 403),
            ("operator", "viewer", ("operators", "viewer", None), 403),
            ("operator", "desk", ("classes", "desk", limits), 200),
            ("admin", "hann", ("organisations", "hann", hann), 200),
        ]
        for role, _, change, expected in cases:
            edit = make_edit(shown["revision"], change)
            status, _ = await ask(deployment, "POST", "config", role=role, content=edit)
            assert status == expected, change
        for method, path, content in (
            ("POST", "moves", ORDER),
            ("DELETE", "moves/m", None),
        ):
            status, answer = await ask(
                deployment, method, path, role="viewer", content=content
            )
            assert (status, answer["error"]["code"]) == (403, "wrong_role")
        await wait_for_audit(deployment)
        _, trail = await ask(deployment, "GET", "audit")
        recorded = [(each["actor"], each["action"], each["outcome"]) for each in trail]
        assert recorded.count(("viewer", "config.apply", "refused")) == 1
        assert recorded.count(("operator", "config.apply", "refused")) == 2
        assert recorded.count(("operator", "config.apply", "done")) == 1
        assert recorded.count(("awa", "config.apply", "done")) == 1
        assert ("viewer", "move.order", "refused") in recorded
        assert ("viewer", "move.cancel", "refused") in recorded


async def test_the_last_admin_can_be_replaced_but_not_removed():
    async with run_deployment(sections=make_sections()) as deployment:

        async def edit(*changes):
            _, shown = await ask(deployment, "GET", "config", role="viewer")
            order = make_edit(shown["revision"], *changes)
            status, answer = await ask(deployment, "POST", "config", content=order)
            return answer["error"]["code"] if status != 200 else status

        _, shown = await ask(deployment, "GET", "config")
        awa = shown["content"]["operators"]["awa"]
        viewer = awa | {"role": "viewer"}
        assert await edit(("operators", "awa", None)) == "last_admin"
        assert await edit(("operators", "awa", viewer)) == "last_admin"
        other = awa | {"token_hash": "sha256:other"}
        both = [("operators", "awa", viewer), ("operators", "bineta", other)]
        assert await edit(*both) == 200
        assert await edit(*both) == "wrong_role"


async def test_refusals_of_unknown_operators_are_rate_limited_in_the_audit_trail():
    async with run_deployment(sections=make_sections()) as deployment:
        for _ in range(30):
            await ask(deployment, "GET", "peers", role="guessed")
        await wait_for_audit(deployment)
        _, trail = await ask(deployment, "GET", "audit")
        assert [each["actor"] for each in trail] == ["unknown"]
        service = deployment.entries[0].find("administration")
        service.unknown_recorded_s -= REFUSALS_INTERVAL_S
        await ask(deployment, "GET", "peers", role="guessed")
        await wait_for_audit(deployment)
        _, trail = await ask(deployment, "GET", "audit")
        assert "30 since" in trail[-1]["detail"]


async def test_a_conflict_names_revision_and_author_and_changes_nothing():
    async with run_deployment(sections=make_sections()) as deployment:
        _, shown = await ask(deployment, "GET", "config")
        desk = shown["content"]["classes"]["desk"]
        first = make_edit(
            shown["revision"], ("classes", "desk", desk | {"priority": 1})
        )
        status, applied = await ask(
            deployment, "POST", "config", role="operator", content=first
        )
        assert status == 200
        second = make_edit(
            shown["revision"], ("classes", "desk", desk | {"priority": 2})
        )
        status, answer = await ask(deployment, "POST", "config", content=second)
        assert (status, answer["error"]["code"]) == (409, "conflict")
        assert (
            f"revision {applied['revision']} by operator"
            in (answer["error"]["message"])
        )
        status, again = await ask(
            deployment, "POST", "config", role="operator", content=first
        )
        assert (status, again) == (200, applied)
        _, shown = await ask(deployment, "GET", "config")
        assert shown["content"]["classes"]["desk"]["priority"] == 1


async def test_move_orders_are_checked_before_they_are_accepted():
    async with run_deployment(sections=make_sections()) as deployment:

        async def order(**fields):
            status, answer = await ask(
                deployment, "POST", "moves", content={**ORDER, **fields}
            )
            return answer["error"]["code"] if status != 200 else status

        assert await order(entry="nope") == "faulty_document"
        assert await order(to_version="9") == "faulty_document"
        assert await order(to_version="1") == "version_in_force"
        assert await order(deadline_in_s=MIN_DEADLINE_S - 1) == "deadline_too_near"
        assert await order(deadline_in_s=1e300) == "deadline_too_far"
        status, answer = await ask(deployment, "DELETE", "moves/m")
        assert (status, answer["error"]["code"]) == (404, "unknown_move")
        assert await order() == 200
        revision = deployment.entries[0].find("catalogue").revision
        assert await order(deadline_in_s=MIN_DEADLINE_S + 700) == 200
        assert deployment.entries[0].find("catalogue").revision == revision
        assert await order(entry="booking", to_version="2") == "move_id_used"
        assert await order(move_id="other") == "move_in_progress"
        status, _ = await ask(deployment, "DELETE", "moves/m")
        assert status == 200
        assert await order() == "move_id_used"


@pytest.mark.parametrize("path", ["classes.desk", "moves.m"])
async def test_an_order_is_rebuilt_once_after_a_conflict_on_another_item(
    path, monkeypatch
):
    async with run_deployment(sections=make_sections()) as deployment:
        catalogue = deployment.entries[0].find("catalogue")
        apply = catalogue.apply
        attempts: list[Edit] = []

        async def fail_first_apply(edit, **options):
            attempts.append(edit)
            if len(attempts) == 1:
                raise ConflictError(7, "other", path)
            return await apply(edit, **options)

        monkeypatch.setattr(catalogue, "apply", fail_first_apply)
        status, _ = await ask(deployment, "POST", "moves", content=ORDER)
        is_same_item = path == "moves.m"
        assert (status, len(attempts)) == ((409, 1) if is_same_item else (200, 2))
        assert len({edit.edit_id for edit in attempts}) == len(attempts)


async def test_why_finds_the_instance_that_served_a_request():
    async with run_deployment(n_entries=3, sections=make_sections()) as deployment:
        await wait_for_members(deployment)
        url = f"{deployment.url(2)}/v1/chat/completions"
        async with deployment.session.post(
            url, json=chat_body(), headers=headers_of()
        ) as answer:
            request_id = answer.headers["X-Request-Id"]
        for index in range(3):
            path = f"requests/{request_id}"
            status, trace = await ask(
                deployment, "GET", path, role="viewer", index=index
            )
            assert (status, trace["request_id"]) == (200, request_id)
        status, answer = await ask(deployment, "GET", "requests/entry-2.nope")
        assert (status, answer["error"]["code"]) == (404, "unknown_request")
        for name in ("entry-2.%2e%2e%2fconfig", "entry-9.1"):
            status, answer = await ask(deployment, "GET", f"requests/{name}")
            assert answer["error"]["code"] == "unknown_request"
        await deployment.entries[2].find("http").stop()
        status, answer = await ask(deployment, "GET", path)
        assert (status, answer["error"]["code"]) == (503, "holder_unreachable")


async def test_why_finds_an_instance_that_only_its_data_centre_knows(monkeypatch):
    async with run_deployment(n_entries=4, sections=make_sections()) as deployment:
        await wait_for_members(deployment)
        # entry-3 is in the data centre of entry-0 and no contact of entry-1.
        peers = deployment.entries[1].find("peers")
        known = [each for each in peers.members() if each.instance != "entry-3"]
        monkeypatch.setattr(peers, "members", lambda: known)
        async with deployment.session.post(
            f"{deployment.url(3)}/v1/chat/completions",
            json=chat_body(),
            headers=headers_of(),
        ) as answer:
            request_id = answer.headers["X-Request-Id"]
        path = f"requests/{request_id}"
        status, trace = await ask(deployment, "GET", path, index=1)
        assert (status, trace["request_id"]) == (200, request_id)
        await deployment.entries[3].find("http").stop()
        status, answer = await ask(deployment, "GET", path, index=1)
        assert (status, answer["error"]["code"]) == (503, "holder_unreachable")


async def test_a_forwarded_lookup_is_not_forwarded_again():
    async with run_deployment(n_entries=2, sections=make_sections()) as deployment:
        await wait_for_members(deployment)
        handover = deployment.entries[1].find("handover")
        lookups = []
        handover.holders = lambda request_id: lookups.append(request_id) or []
        await ask(deployment, "GET", "requests/entry-1.nope")
        assert lookups == []
        await ask(deployment, "GET", "requests/entry-1.nope", index=1)
        assert lookups == ["entry-1.nope"]


async def test_keys_tokens_and_bodies_are_absent_from_logs_errors_and_audit_trail():
    secrets = [
        *KEYS.values(),
        *TOKENS.values(),
        "secret-question",
        "secret-idempotency",
        "secret-wrong-key",
        "secret-wrong-token",
        "secret-garbled",
    ]
    captured = logbook.TestHandler(level=logbook.DEBUG)
    outputs: list[str] = []
    # Applied before the deployment starts, so that its tasks inherit it.
    with captured.applicationbound():
        async with run_deployment(sections=make_sections()) as deployment:

            async def post(path, headers, data=None, **options):
                async with deployment.session.post(
                    f"{deployment.url(0)}{path}", headers=headers, data=data, **options
                ) as answer:
                    outputs.append(f"{answer.status} {dict(answer.headers)}")
                    if answer.status >= 400:
                        outputs.append(await answer.text())
                    return answer.status

            chat = "/v1/chat/completions"
            question = chat_body("secret-question")
            keyed = headers_of(**{"Idempotency-Key": "secret-idempotency"})
            wrong = {"Authorization": "Bearer secret-wrong-key"}
            book = "/services/booking/bookings"
            assert await post(chat, headers_of(), json=question) == 200
            assert await post(book, keyed, b'{"seats": 1}') == 200
            assert await post(book, keyed, b"secret-question") == 422
            assert await post(chat, wrong, json=question) == 401
            assert await post(chat, headers_of(), b'{"secret-garbled') == 400
            for engine in deployment.engines.values():
                await engine.stop()
            assert await post(chat, headers_of(), json=question) >= 500
            for role in (*TOKENS, "secret-wrong-token"):
                for path in READS[1:]:
                    outputs.append(str(await ask(deployment, "GET", path, role=role)))
            headers = {"Authorization": f"Bearer {TOKENS['admin']}"}
            assert await post("/admin/config", headers, b'{"secret-garbled') == 400
            await wait_for_audit(deployment)
            outputs += [
                record.data for record in deployment.log.streams[STREAM].records
            ]
            for stream in deployment.log.streams.values():
                outputs += [
                    each.data for each in stream.records if "token" in each.data
                ]
    outputs += [
        f"{each.message} {each.extra} {each.exc_info}" for each in captured.records
    ]
    assert captured.records
    assert outputs
    found = {secret for secret in secrets for text in outputs if secret in text}
    assert not found


class SilentLog:
    """A log whose appends never return."""

    async def append(self, stream, data):
        """Block forever."""
        await asyncio.Event().wait()


async def test_an_order_with_unknown_outcome_is_audited_as_unknown():
    async with run_deployment(sections=make_sections()) as deployment:
        catalogue = deployment.entries[0].find("catalogue")
        catalogue.log_override = SilentLog()
        catalogue.options = type(catalogue.options)(apply_timeout_s=0.05)
        status, answer = await ask(deployment, "POST", "moves", content=ORDER)
        assert (status, answer["error"]["outcome"]) == (503, "unknown")
        await wait_for_audit(deployment)
        _, trail = await ask(deployment, "GET", "audit")
        assert trail[-1]["outcome"] == "unknown"
