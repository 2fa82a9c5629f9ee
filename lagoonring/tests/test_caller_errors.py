from __future__ import annotations

import asyncio
import json

import openai
import pytest

from lagoonring.tests.builders.callers import ask, expected_text
from lagoonring.tests.builders.deployments import (
    HOST,
    KEYS,
    Deployment,
    chat_body,
    headers_of,
    run_deployment,
)

CHAT_PATH = "/v1/chat/completions"
VALID_BODY = json.dumps(chat_body()).encode()
LOW_LIMITS = {"requests": {"body_limit_bytes": 2048, "body_timeout_s": 0.2}}

INVALID_REQUESTS = {
    "bad_json": (CHAT_PATH, b"{", headers_of(), 400, "bad_json"),
    "not_an_object": (CHAT_PATH, b"[1]", headers_of(), 400, "bad_json"),
    "no_messages": (CHAT_PATH, b'{"model":"guide"}', headers_of(), 400, "bad_json"),
    "bad_utf8": (CHAT_PATH, b'{"model":"\xff"}', headers_of(), 400, "bad_json"),
    "bad_max_tokens": (
        CHAT_PATH,
        json.dumps(chat_body(n_tokens=-1)).encode(),
        headers_of(),
        400,
        "bad_json",
    ),
    "unknown_model": (
        CHAT_PATH,
        json.dumps({**chat_body(), "model": "guise"}).encode(),
        headers_of(),
        404,
        "unknown_entry",
    ),
    "plain_as_model": (
        CHAT_PATH,
        json.dumps({**chat_body(), "model": "booking"}).encode(),
        headers_of(),
        404,
        "unknown_entry",
    ),
    "unknown_service": ("/services/bokking/x", b"", headers_of(), 404, "unknown_entry"),
    "missing_key": (CHAT_PATH, VALID_BODY, {}, 401, "missing_key"),
    "wrong_key": (
        CHAT_PATH,
        VALID_BODY,
        {"Authorization": "Bearer no"},
        401,
        "wrong_key",
    ),
    "oversized": (CHAT_PATH, b"x" * 4096, headers_of(), 413, "body_too_large"),
    "bad_deadline": (
        CHAT_PATH,
        VALID_BODY,
        headers_of(**{"X-Deadline-Ms": "soon"}),
        400,
        "bad_header",
    ),
    "bad_key": (
        "/services/booking/x",
        b"",
        headers_of(**{"Idempotency-Key": "a b"}),
        400,
        "bad_header",
    ),
    "unknown_path": ("/v2/chat", VALID_BODY, headers_of(), 404, "not_found"),
}


async def test_invalid_requests_get_specific_errors_and_affect_no_others():
    async with run_deployment(entry=LOW_LIMITS) as deployment:
        for path, body, headers, status, code in INVALID_REQUESTS.values():
            async with deployment.session.post(
                deployment.url(0) + path, data=body, headers=headers
            ) as answer:
                error = (await answer.json())["error"]
                assert (answer.status, error["code"]) == (status, code)
                assert error["outcome"] == "not_run"
                assert answer.headers["X-Outcome"] == "not_run"
                assert error["remedy"]
        caller = await ask(deployment, "turtles", 4)
        caller.assert_whole("turtles", 4)
        assert not deployment.entries[0].find("requests").streams


async def test_header_over_the_limit_is_refused():
    async with run_deployment() as deployment:
        headers = headers_of(**{"X-Long": "x" * 20_000})
        async with deployment.session.post(
            deployment.url(0) + CHAT_PATH, data=VALID_BODY, headers=headers
        ) as answer:
            assert answer.status in (400, 431)
        (await ask(deployment, "turtles", 4)).assert_whole("turtles", 4)


async def send_raw(deployment: Deployment, data: bytes, *, close: bool) -> bytes:
    """Send bytes on a new connection and return what comes back."""
    port = deployment.entries[0].find("http").port
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    await writer.drain()
    if close:
        writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("close", "status"), [(False, b"408"), (True, b"400")], ids=["slow", "unfinished"]
)
async def test_incomplete_body_gets_an_error(close, status):
    async with run_deployment(entry=LOW_LIMITS) as deployment:
        head = (
            f"POST {CHAT_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"
            f"Authorization: Bearer {KEYS['hann']}\r\nConnection: close\r\n\r\n"
        )
        answer = await send_raw(deployment, head.encode() + b"{", close=close)
        if answer or not close:
            assert answer.split(b" ")[1] == status
        (await ask(deployment, "turtles", 4)).assert_whole("turtles", 4)


async def test_openai_client_works_unchanged():
    async with (
        run_deployment() as deployment,
        openai.AsyncOpenAI(
            base_url=f"{deployment.url(0)}/v1", api_key=KEYS["hann"], max_retries=0
        ) as client,
    ):
        body = chat_body("turtles", n_tokens=6)
        whole = await client.chat.completions.create(**body)
        assert whole.choices[0].message.content == expected_text("turtles", 6)
        assert whole.usage.completion_tokens == 6
        words = []
        stream = await client.chat.completions.create(
            **body, stream=True, stream_options={"include_usage": True}
        )
        async for chunk in stream:
            words += [choice.delta.content or "" for choice in chunk.choices]
            usage = chunk.usage
        assert "".join(words) == expected_text("turtles", 6)
        assert usage.completion_tokens == 6
        models = [model.id async for model in client.models.list()]
        assert models == ["guide"]
        with pytest.raises(openai.NotFoundError) as caught:
            await client.chat.completions.create(**{**body, "model": "none"})
        assert caught.value.code == "unknown_entry"
