"""The baseline: a bare aiohttp relay of server-sent events, without checks."""

from __future__ import annotations

import argparse
import itertools

import aiohttp
from aiohttp import web


def make_app(urls: list[str]) -> web.Application:
    """Return a relay that passes each request to the next endpoint."""
    turns = itertools.cycle(urls)

    async def post_chat(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        url = next(turns)
        async with request.app[SESSION].post(
            f"{url}/v1/chat/completions",
            data=body,
            headers={"Content-Type": "application/json"},
        ) as answer:
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            return response

    async def open_session(app: web.Application):
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            app[SESSION] = session
            yield

    app = web.Application()
    app.cleanup_ctx.append(open_session)
    app.router.add_post("/v1/chat/completions", post_chat)
    return app


SESSION = web.AppKey("session", aiohttp.ClientSession)

if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("urls", nargs="+")
    options = parser.parse_args()
    web.run_app(
        make_app(options.urls),
        host="127.0.0.1",
        port=options.port,
        access_log=None,
        print=None,
    )
