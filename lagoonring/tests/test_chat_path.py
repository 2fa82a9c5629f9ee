from __future__ import annotations

import json

from lagoonring.standins.tokens import text_of
from lagoonring.tests.builders.deployments import (
    chat_body,
    headers_of,
    run_deployment,
)


def read_stream(text: str) -> tuple[str, list[str]]:
    """Return the answer's text and the ids of its token events."""
    events = [event for event in text.split("\n\n") if event]
    assert events[-1] == "data: [DONE]"
    ids = []
    words = []
    for event in events[:-1]:
        lines = dict(line.split(": ", 1) for line in event.split("\n"))
        for choice in json.loads(lines["data"])["choices"]:
            words.append(choice["delta"].get("content") or "")
        if "id" in lines:
            ids.append(lines["id"])
    return "".join(words), ids


async def test_streamed_and_unstreamed_answers_contain_every_token():
    async with run_deployment() as deployment:
        url = f"{deployment.url(0)}/v1/chat/completions"
        body = chat_body("when are the turtles fed", n_tokens=8)
        prompt = body["messages"]
        async with deployment.session.post(
            url, json={**body, "stream": True}, headers=headers_of()
        ) as answer:
            assert answer.status == 200, await answer.text()
            request_id = answer.headers["X-Request-Id"]
            text, ids = read_stream(await answer.text())
        async with deployment.session.post(
            url, json=body, headers=headers_of()
        ) as answer:
            whole = await answer.json()
        assert ids == [f"{request_id}:{n}" for n in range(1, 9)]
        assert whole["choices"][0]["message"]["content"] == text
        assert whole["usage"]["completion_tokens"] == 8
        assert text == text_of(prompt_text(prompt), 0, 8)


def prompt_text(messages: list[dict]) -> str:
    return "".join(f"{m['role']}\x00{m['content']}\x01" for m in messages)
