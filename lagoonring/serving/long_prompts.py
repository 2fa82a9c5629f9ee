"""Where long prompts are read; pure functions without input or output.

An engine reads a prompt in chunks between the tokens of the streams that run there. A
prompt that takes longer to read than the pause that streams allow between two events
makes all of them late, wherever it is read. This answers the load in which few prompts
are that long and many streams run: the long ones are read at few endpoints, the
readers, and streams with short prompts run at the others.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs
import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_READER_LOAD = 0.3  # share of time; a long prompt then rarely waits for another one
MIN_LONG_LOAD = 0.01  # of one endpoint; below it long prompts are exceptions
MIN_OTHERS = 2  # endpoints besides the readers, so that one may be lost
STREAM_READS = 3.0  # a stream meets prompts read in this multiple of a long reading


@attrs.frozen(kw_only=True)
class Readers:
    """The endpoints that read long prompts, and the share of time that they do."""

    names: frozenset[str] = frozenset()
    load: float = 0.0

    def pause_cost_s(self, name: str, objective_s: float) -> float:
        """Return the expected delay of a stream at an endpoint by long prompts.

        A stream with too long a pause is as late as one that begins late.
        """
        if name not in self.names:
            return 0.0
        return objective_s * min(1.0, self.load * STREAM_READS)


NO_READERS = Readers()


def is_long(prefill_s: float, max_pause_s: float) -> bool:
    """Return whether reading a prompt interrupts streams for too long."""
    return prefill_s > max_pause_s


def choose_readers(names: Sequence[str], long_load: float) -> Readers:
    """Return the readers, on which all instances agree without communicating.

    Parameters
    ----------
    names : sequence of str
        The endpoints that may be chosen.
    long_load : float
        Seconds of reading long prompts that arrive per second at all instances.
    """
    if long_load < MIN_LONG_LOAD:
        return NO_READERS
    n_readers = min(math.ceil(long_load / MAX_READER_LOAD), len(names) - MIN_OTHERS)
    if n_readers <= 0:
        return NO_READERS
    ranked = sorted(names, key=lambda name: xxhash.xxh3_64_intdigest(name.encode()))
    return Readers(names=frozenset(ranked[:n_readers]), load=long_load / n_readers)
