"""Faults of the engine stand-in, set by ``POST /faults``."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between, optional

MANY = 1_000_000_000


@attrs.frozen(kw_only=True)
class VersionFaults:
    """Faults of one model version.

    They apply to prompts that contain ``prompt_contains``, after the first
    ``after_n_requests`` requests of the version and while more than
    ``above_n_running`` requests are running.
    """

    error_share: float = attrs.field(default=0.0, validator=between(0, 1))
    slow_factor: float = attrs.field(default=1.0, validator=between(0.01, 1000))
    crash: bool = False
    after_n_requests: int = attrs.field(default=0, validator=between(0, MANY))
    above_n_running: int = attrs.field(default=0, validator=between(0, MANY))
    prompt_contains: str = ""


@attrs.define(kw_only=True)
class EngineFaults:
    """Faults in force.

    Counts (``n_...``) are the number of requests still to be hit and go down with
    each one; all other faults stay until changed. Token numbers count tokens sent.

    A prompt that contains one of the texts in ``crash_on`` crashes the engine after
    ``crash_at_token`` tokens; the engine restarts after ``restart_s``.
    ``n_crossed`` requests swap answers in pairs. ``hold_at_token`` holds all streams
    at that token until it is set to null.
    """

    crash_on: list[str] = attrs.field(factory=list)
    crash_at_token: int = attrs.field(default=0, validator=between(0, MANY))
    restart_s: float = attrs.field(default=1.0, validator=between(0, 3600))
    crash_now: bool = False
    refuse_s: float = attrs.field(default=0.0, validator=between(0, 3600))
    slow_factor: float = attrs.field(default=1.0, validator=between(0.01, 1000))
    hold_at_token: int | None = attrs.field(
        default=None, validator=optional(between(0, MANY))
    )
    stall_at_token: int = attrs.field(default=1, validator=between(0, MANY))
    n_stalled: int = attrs.field(default=0, validator=between(0, MANY))
    cut_at_token: int = attrs.field(default=1, validator=between(0, MANY))
    n_cut: int = attrs.field(default=0, validator=between(0, MANY))
    late_s: float = attrs.field(default=0.0, validator=between(0, 3600))
    n_late: int = attrs.field(default=0, validator=between(0, MANY))
    n_errors: int = attrs.field(default=0, validator=between(0, MANY))
    n_refused: int = attrs.field(default=0, validator=between(0, MANY))
    n_crossed: int = attrs.field(default=0, validator=between(0, MANY))
    versions: dict[str, VersionFaults] = attrs.field(factory=dict)


NO_VERSION_FAULTS = VersionFaults()


def find_version_faults(
    faults: EngineFaults, version: str, *, n_requests: int, n_running: int, prompt: str
) -> VersionFaults:
    """Return the faults of a version that apply to a request at this moment."""
    found = faults.versions.get(version, NO_VERSION_FAULTS)
    applies = (
        n_requests > found.after_n_requests
        and n_running > found.above_n_running
        and found.prompt_contains in prompt
    )
    return found if applies else NO_VERSION_FAULTS
