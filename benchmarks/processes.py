"""Starts programs for benchmarks and reads their processor time and memory."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import TYPE_CHECKING, Any

from lagoonring.tests.builders.ports import HOST, free_ports

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = [
    "HOST",
    "cpu_s",
    "free_ports",
    "memory_mb",
    "run_program",
    "run_with_settings",
    "wait_for",
]

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB (2**20 bytes)."""
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES / 2**20


@contextlib.contextmanager
def run_program(arguments: list[str]) -> Iterator[subprocess.Popen]:
    """Run a Python program until the block ends."""
    process = subprocess.Popen([sys.executable, *arguments], stdout=subprocess.DEVNULL)
    try:
        yield process
    finally:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


@contextlib.contextmanager
def run_with_settings(
    program: str, settings: dict[str, Any]
) -> Iterator[subprocess.Popen]:
    """Run a program of ``lagoonring.cli`` with a settings file."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_text(json.dumps(settings))
        code = f"from lagoonring.cli.{program} import main; main()"
        with run_program(["-c", code, "--settings", str(path)]) as process:
            yield process


def wait_for(url: str, process: subprocess.Popen) -> None:
    """Wait until a URL answers with status 200."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if process.poll() is not None:
            raise RuntimeError(
                f"Process exited with status {process.returncode} before it was ready."
            )
        try:
            with urllib.request.urlopen(url, timeout=1) as response:
                if response.status == 200:
                    return
        except (urllib.error.URLError, ConnectionError, TimeoutError):
            time.sleep(0.05)
    raise TimeoutError(
        f"{url} did not answer with status 200 within {START_TIMEOUT_S} s."
    )
