"""Fingerprints of requests, rows, calls and errors of retries."""

from __future__ import annotations

import attrs
import xxhash

from lagoonring.errors import LagoonringError

CAUSE_SUSPECT = "suspect"
CAUSE_REQUEST = "request"
CAUSE_ENDPOINT = ""

GRANTED = "granted"
BUSY = "busy"
PINNED = "pinned"
QUARANTINED = "quarantined"

CRASHED = "crashed"
WHOLE = "whole"
OTHER = "other"


def make_fingerprint(organisation: str, entry: str, body: bytes) -> str:
    """Return the text that stands for equal requests.

    For plain services the method and path belong into ``body`` as well.
    """
    digest = xxhash.xxh3_128(f"{organisation}\x00{entry}\x00".encode())
    digest.update(body)
    return digest.hexdigest()


@attrs.frozen
class Crash:
    """An endpoint went down with the request in progress.

    ``time_s`` is in epoch seconds. A crash is weak evidence if an equal request
    had completed before and the attempt was not a supervised one.
    """

    endpoint: str
    time_s: float
    is_strong: bool = True


@attrs.frozen(kw_only=True)
class Suspicion:
    """Row ``quarantine``: what one instance knows of a fingerprint.

    ``cleared_s`` is the epoch time of a whole answer, 0 if there was none.
    """

    crashes: list[Crash] = attrs.field(factory=list)
    cleared_s: float = 0.0


@attrs.frozen(kw_only=True)
class AttemptAsk:
    """Asks a fingerprint's home whether an attempt may start.

    ``key`` is a fingerprint, or ``endpoint:NAME`` for the exclusive use of an
    endpoint by suspected requests. ``n_hops`` counts forwardings.
    """

    key: str
    grant_id: str
    endpoint: str
    suspicion: Suspicion = attrs.field(factory=Suspicion)
    is_exclusive: bool = False
    n_hops: int = 0


@attrs.frozen(kw_only=True)
class AttemptAnswer:
    """The home's answer; ``endpoint`` is the one to use."""

    state: str = GRANTED
    endpoint: str = ""
    suspicion: Suspicion = attrs.field(factory=Suspicion)


@attrs.frozen(kw_only=True)
class AttemptEnd:
    """Tells a home how a granted attempt ended."""

    key: str
    grant_id: str
    result: str = OTHER
    suspicion: Suspicion = attrs.field(factory=Suspicion)


@attrs.frozen(kw_only=True)
class AttemptEnds:
    """Several ends for homes of one data centre."""

    ends: list[AttemptEnd] = attrs.field(factory=list)
    n_hops: int = 0


class QuarantinedError(LagoonringError):
    """The request has crashed endpoints twice and is not run again."""

    code = "quarantined"
    status = 422


class SuspectBusyError(LagoonringError):
    """An equal request that may crash endpoints is in progress elsewhere."""

    code = "suspect_in_progress"
    status = 503
