"""Baseline for the relay benchmarks: an aiohttp relay of events, without checks."""

from __future__ import annotations

import argparse
import itertools

import aiohttp
from aiohttp import web


def make_app(urls: list[str]) -> web.Application:
    """Return a relay that forwards requests to the endpoints in round-robin order."""
    url_cycle = itertools.cycle(urls)

    async def post_chat(request: web.Request) -> web.StreamResponse:
        body = await request.read()
        url = next(url_cycle)
        async with request.app[SESSION].post(
            f"{url}/v1/chat/completions",
            data=body,
            headers={"Content-Type": "application/json"},
        ) as upstream:
            response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
            await response.prepare(request)
            async for chunk in upstream.content.iter_any():
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
