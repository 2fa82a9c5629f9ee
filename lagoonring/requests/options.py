"""Options of the request path."""

from __future__ import annotations

import attrs

from lagoonring.settings.validators import between


@attrs.frozen(kw_only=True)
class RequestsOptions:
    """Limits of reading, attempting and retaining requests.

    Sizes are in bytes, times in seconds. A request is attempted at most
    ``n_attempts_most`` times. A stream without a connected caller ends after
    ``detached_grace_s``. Finished answers can be fetched again for
    ``keep_answers_s``, up to a total size of ``kept_answers_bytes``. A leaving
    instance hands over unfinished streams ``handover_margin_s`` before its end. A KV
    cache is moved if it holds at least ``kv_tokens_least`` tokens and at least
    ``kv_notice_s`` of the notice remain. ``n_tokens_default`` limits an answer if
    the caller sets no limit. Traces of the last ``n_traces`` requests are retained.
    """

    body_limit_bytes: int = attrs.field(
        default=1 << 20, validator=between(1 << 10, 1 << 26)
    )
    answer_limit_bytes: int = attrs.field(
        default=8 << 20, validator=between(1 << 10, 1 << 28)
    )
    body_timeout_s: float = attrs.field(default=10.0, validator=between(0.1, 600))
    n_attempts_most: int = attrs.field(default=8, validator=between(1, 100))
    first_token_timeout_s: float = attrs.field(
        default=10.0, validator=between(0.1, 600)
    )
    between_tokens_timeout_s: float = attrs.field(
        default=2.0, validator=between(0.05, 600)
    )
    detached_grace_s: float = attrs.field(default=10.0, validator=between(0, 600))
    keep_answers_s: float = attrs.field(default=30.0, validator=between(0, 3600))
    kept_answers_bytes: int = attrs.field(
        default=4 << 20, validator=between(0, 1 << 30)
    )
    handover_margin_s: float = attrs.field(default=3.0, validator=between(0, 600))
    kv_tokens_least: int = attrs.field(default=256, validator=between(0, 1_000_000))
    kv_notice_s: float = attrs.field(default=1.0, validator=between(0, 600))
    n_tokens_default: int = attrs.field(default=512, validator=between(1, 1_000_000))
    n_traces: int = attrs.field(default=1000, validator=between(0, 100_000))
