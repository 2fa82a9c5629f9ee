"""Fingerprints of requests, rows and errors of retries."""

from __future__ import annotations

import attrs
import xxhash

from lagoonring.errors import LagoonringError


def make_fingerprint(organisation: str, entry: str, body: bytes) -> str:
    """Return the text that stands for equal requests.

    For plain services the method and path belong into ``body`` as well.
    """
    digest = xxhash.xxh3_128(f"{organisation}\x00{entry}\x00".encode())
    digest.update(body)
    return digest.hexdigest()


@attrs.frozen
class Crash:
    """An endpoint went down with the request in progress; epoch seconds."""

    endpoint: str
    time_s: float


@attrs.frozen(kw_only=True)
class Suspicion:
    """Row ``quarantine``: what one instance knows of a fingerprint.

    ``cleared_s`` is the epoch time of a whole answer, 0 if there was none.
    """

    entry: str = ""
    crashes: list[Crash] = attrs.field(factory=list)
    cleared_s: float = 0.0


class QuarantinedError(LagoonringError):
    """The request has crashed endpoints twice and is not run again."""

    code = "quarantined"
    status = 422


class SuspectBusyError(LagoonringError):
    """An equal request that may crash endpoints is in progress elsewhere."""

    code = "suspect_in_progress"
    status = 503
