"""Fingerprints, rows, peer calls and errors of retries."""

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
    """Return the hash that identifies equal requests.

    For plain services, ``body`` must include the method and path.
    """
    digest = xxhash.xxh3_128(f"{organisation}\x00{entry}\x00".encode())
    digest.update(body)
    return digest.hexdigest()


@attrs.frozen
class Crash:
    """Crash of an endpoint with the request in progress.

    ``time_s`` is in epoch seconds. ``is_strong`` is False, meaning weak
    evidence against the request, if an equal request had completed before and
    the attempt was not supervised.
    """

    endpoint: str
    time_s: float
    is_strong: bool = True


@attrs.frozen(kw_only=True)
class Suspicion:
    """Row ``quarantine``: the crashes of a fingerprint known to one instance.

    Crashes up to ``cleared_s``, in epoch seconds, have been cleared, for
    example by a complete answer; 0 if none have.
    """

    crashes: list[Crash] = attrs.field(factory=list)
    cleared_s: float = 0.0


@attrs.frozen(kw_only=True)
class AttemptQuery:
    """Asks a key's home whether an attempt may start.

    ``key`` is a fingerprint, or ``endpoint:NAME`` for the exclusive use of an
    endpoint among suspected requests. ``n_hops`` counts how often the query was
    forwarded.
    """

    key: str
    grant_id: str
    endpoint: str
    suspicion: Suspicion = attrs.field(factory=Suspicion)
    is_exclusive: bool = False
    n_hops: int = 0


@attrs.frozen(kw_only=True)
class AttemptAnswer:
    """The home's answer; ``endpoint`` is the one that the attempt must use."""

    state: str = GRANTED
    endpoint: str = ""
    suspicion: Suspicion = attrs.field(factory=Suspicion)


@attrs.frozen(kw_only=True)
class AttemptEnd:
    """Reports to a home how a granted attempt ended."""

    key: str
    grant_id: str
    result: str = OTHER
    suspicion: Suspicion = attrs.field(factory=Suspicion)


@attrs.frozen(kw_only=True)
class AttemptEnds:
    """Ended attempts that are sent to another instance in one call."""

    ends: list[AttemptEnd] = attrs.field(factory=list)
    n_hops: int = 0


class QuarantinedError(LagoonringError):
    """The request has crashed endpoints at least twice and is quarantined."""

    code = "quarantined"
    status = 422


class SuspectBusyError(LagoonringError):
    """An equal request that may crash endpoints is in progress elsewhere."""

    code = "suspect_in_progress"
    status = 503
