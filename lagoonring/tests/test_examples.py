"""Names that examples and benchmarks import exist; CI does not run the scripts."""

from __future__ import annotations

import ast
import importlib
import importlib.util
from pathlib import Path

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

ROOT = Path(__file__).parents[2]
FILES = sorted(
    [*(ROOT / "examples").rglob("*.py"), *(ROOT / "benchmarks").glob("*.py")]
)


@pytest.mark.parametrize("path", FILES, ids=lambda path: str(path.relative_to(ROOT)))
def test_imports_of_the_package_exist(path):
    for node in ast.walk(ast.parse(path.read_text())):
        is_import = isinstance(node, ast.ImportFrom) and node.level == 0
        if not is_import or not (node.module or "").startswith("lagoonring"):
            continue
        module = importlib.import_module(node.module)
        for alias in node.names:
            if not hasattr(module, alias.name):
                importlib.import_module(f"{node.module}.{alias.name}")


def load_demo(monkeypatch):
    """Import the demo as `python examples/demo/run_demo.py` does."""
    folder = ROOT / "examples" / "demo"
    monkeypatch.syspath_prepend(str(folder))
    monkeypatch.syspath_prepend(str(ROOT / "examples"))
    spec = importlib.util.spec_from_file_location("run_demo", folder / "run_demo.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


async def test_demo_resends_while_a_booking_is_in_progress(
    monkeypatch,
):
    """On a busy machine, a booking's record is stored shortly after its answer.

    A resend in between gets 409 with Retry-After and has to be sent again.
    """
    demo = load_demo(monkeypatch)
    answers = [(200, {}), (409, {"Retry-After": "0"}), (200, {"X-Replayed": "true"})]

    async def answer(request):
        status, headers = answers.pop(0)
        return web.Response(status=status, headers=headers)

    app = web.Application()
    app.router.add_post("/services/booking/bookings", answer)
    async with TestServer(app) as server, aiohttp.ClientSession() as session:
        url = str(server.make_url("")).rstrip("/")
        await demo.show_booking(session, [url, url])
    assert answers == []
