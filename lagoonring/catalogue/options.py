"""Options of the catalogue service."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between

DAY_S = 86_400.0


@attrs.frozen(kw_only=True)
class CatalogueOptions:
    """How the catalogue follows the log.

    Attributes
    ----------
    poll_s : float
        Maximum time that one read waits for a new record, in seconds.
    retry_s : float
        Pause after a failed read, in seconds.
    apply_timeout_s : float
        Timeout for an edit to be appended and read back from the log, in seconds.
    cut_off_after_s : float
        Time without an answer from the log after which newer content is fetched
        from peers, in seconds.
    snapshot_every : int
        Number of records after which a new snapshot is written.
    snapshot_interval_s : float
        Age of the newest snapshot at which a new one is written, in seconds; should
        be at most a quarter of the log's retention.
    snapshot_jitter_s : float
        Maximum random delay before a snapshot is written, in seconds.
    peer_timeout_s : float
        Timeout for fetching content from a peer, in seconds.
    """

    poll_s: float = attrs.field(default=10.0, validator=between(0.01, 60))
    retry_s: float = attrs.field(default=0.5, validator=between(0.01, 60))
    apply_timeout_s: float = attrs.field(default=10.0, validator=between(0.01, 600))
    cut_off_after_s: float = attrs.field(default=3.0, validator=between(0, 600))
    snapshot_every: int = attrs.field(default=100, validator=between(1, 100_000))
    snapshot_interval_s: float = attrs.field(
        default=900.0, validator=between(0.01, 30 * DAY_S)
    )
    snapshot_jitter_s: float = attrs.field(default=20.0, validator=between(0, 3600))
    peer_timeout_s: float = attrs.field(default=2.0, validator=between(0.01, 60))
