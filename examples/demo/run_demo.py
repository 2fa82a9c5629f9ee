"""Starts the demo deployment, streams an answer, books a visit, shows the cost.

With ``--stay`` it keeps running until interrupted and prints the instances'
addresses and the organisations' keys.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import signal
import subprocess
import sys
import tempfile
import uuid
from pathlib import Path
from typing import TYPE_CHECKING

import aiohttp

sys.path.insert(0, str(Path(__file__).parent))

from deployment import OPERATOR_TOKEN, ORGANISATION_KEYS, Deployment, make_deployment

from lagoonring.catalogue.edits import Change, Edit, encode_edit
from lagoonring.errors import LagoonringError
from lagoonring.platform.store_log import LogClient

if TYPE_CHECKING:
    from collections.abc import Iterator

START_TIMEOUT_S = 30.0
BOOKING_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
QUESTION = "When are the turtles fed, and where do school groups stand?"


def main() -> int:
    """Run the demo and return its exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--base-port", type=int, default=8700)
    parser.add_argument("--stay", action="store_true")
    options = parser.parse_args()
    deployment = make_deployment(options.base_port)
    signal.signal(signal.SIGTERM, handle_sigterm)
    with (
        tempfile.TemporaryDirectory() as folder,
        run_processes(deployment, Path(folder)) as processes,
    ):
        try:
            asyncio.run(run_demo(deployment, processes, keeps_running=options.stay))
        except KeyboardInterrupt:
            print("Stopping.")
    return 0


def handle_sigterm(number: int, frame: object) -> None:
    """Raise KeyboardInterrupt, so that the clean-up stops the processes."""
    raise KeyboardInterrupt


@contextlib.contextmanager
def run_processes(
    deployment: Deployment, folder: Path
) -> Iterator[list[subprocess.Popen]]:
    """Run the stand-ins and all entry instances until the block ends."""
    processes = [start("standin_command", deployment.standins, folder / "s.json")]
    for settings in deployment.entries:
        path = folder / f"{settings['instance']}.json"
        processes.append(start("entry_command", settings, path))
    try:
        yield processes
    finally:
        for process in reversed(processes):
            process.send_signal(signal.SIGTERM)
            process.wait(STOP_TIMEOUT_S)


def start(program: str, settings: dict, path: Path) -> subprocess.Popen:
    """Start one program with its settings file."""
    path.write_text(json.dumps(settings, indent=2))
    code = f"from lagoonring.cli.{program} import main; main()"
    command = [sys.executable, "-c", code, "--settings", str(path)]
    return subprocess.Popen(command, stdout=subprocess.DEVNULL)


async def run_demo(
    deployment: Deployment, processes: list[subprocess.Popen], *, keeps_running: bool
) -> None:
    """Publish the catalogue, wait until all instances are ready, send requests."""
    async with aiohttp.ClientSession() as session:
        await publish(deployment, session)
        urls = [
            f"http://{entry['host']}:{entry['port']}" for entry in deployment.entries
        ]
        for url in urls:
            await wait_until_ready(session, url, processes)
        for url, entry in zip(urls, deployment.entries, strict=True):
            print(
                f"ready {url} data_centre={entry['data_centre']} "
                f"instance={entry['instance']}"
            )
        for organisation, key in ORGANISATION_KEYS.items():
            print(f"key organisation={organisation} {key}")
        print(f"token operator=awa {OPERATOR_TOKEN}", flush=True)
        if keeps_running:
            await asyncio.Event().wait()
        await show_chat(session, urls[0])
        await show_booking(session, urls[1:])


async def publish(deployment: Deployment, session: aiohttp.ClientSession) -> None:
    """Append the catalogue to the platform's log, as operators do."""
    changes = [
        Change(section=section, name=name, item=item)
        for section, items in deployment.catalogue.items()
        for name, item in items.items()
    ]
    edit = Edit(
        edit_id=uuid.uuid4().hex, author="awa", base_revision=-1, changes=changes
    )
    log = LogClient(deployment.log_url, session)
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                await log.append("config", encode_edit(edit))
                return
            except LagoonringError:
                await asyncio.sleep(POLL_INTERVAL_S)


async def wait_until_ready(
    session: aiohttp.ClientSession, url: str, processes: list[subprocess.Popen]
) -> None:
    """Wait until an entry instance has the catalogue and its endpoints."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            ended = [p.args for p in processes if p.poll() is not None]
            if ended:
                raise SystemExit(f"A program ended early: {ended}.")
            with contextlib.suppress(aiohttp.ClientError):
                async with session.get(f"{url}/readyz") as answer:
                    if answer.status == 200:
                        return
            await asyncio.sleep(POLL_INTERVAL_S)


async def show_chat(session: aiohttp.ClientSession, url: str) -> None:
    """Stream one chat answer and print it as it arrives."""
    body = {
        "model": "guide",
        "messages": [{"role": "user", "content": QUESTION}],
        "stream": True,
        "max_tokens": 24,
    }
    headers = {"Authorization": f"Bearer {ORGANISATION_KEYS['hann']}"}
    print(f"\nAsking guide at {url}: {QUESTION}")
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as answer:
        answer.raise_for_status()
        request_id = answer.headers["X-Request-Id"]
        async for line in answer.content:
            if line.startswith(b"data: {"):
                choices = json.loads(line[6:])["choices"]
                print("".join(c["delta"].get("content") or "" for c in choices), end="")
    print()
    async with session.get(
        f"{url}/v1/requests/{request_id}", headers=headers
    ) as answer:
        trace = await answer.json()
    print(
        f"Request {request_id}: {trace['n_tokens']} tokens from {trace['endpoint']}, "
        f"cost {trace['cost']:.6f}"
    )


async def show_booking(session: aiohttp.ClientSession, urls: list[str]) -> None:
    """Send a booking, resend it through another instance, print both answers."""
    headers = {
        "Authorization": f"Bearer {ORGANISATION_KEYS['ngor']}",
        "Idempotency-Key": uuid.uuid4().hex,
    }
    body = {"show": "feeding", "seats": 2}
    print(f"\nBooking: {body}")
    for attempt, url in zip(("first", "resent"), urls, strict=True):
        async with asyncio.timeout(BOOKING_TIMEOUT_S):
            await book(session, attempt, url, body, headers)


async def book(
    session: aiohttp.ClientSession,
    attempt: str,
    url: str,
    body: dict[str, object],
    headers: dict[str, str],
) -> None:
    """Send a booking; resend after ``Retry-After`` while it is in progress."""
    while True:
        async with session.post(
            f"{url}/services/booking/bookings", json=body, headers=headers
        ) as answer:
            text = await answer.text()
            print(
                f"{attempt} at {url}: status {answer.status}, {text.strip()}, "
                f"cost {answer.headers.get('X-Cost')}, "
                f"replayed {answer.headers.get('X-Replayed', 'false')}"
            )
            retry_after_s = answer.headers.get("Retry-After")
            if answer.status != 409 or retry_after_s is None:
                answer.raise_for_status()
                return
        # The first answer has not been recorded in the log yet.
        await asyncio.sleep(float(retry_after_s))


if __name__ == "__main__":
    sys.exit(main())
