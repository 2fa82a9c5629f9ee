"""Bounded queue with weighted fairness among organisations and among classes.

Implements start-time fair queueing: each request gets a start tag in virtual
time, which advances by cost over weight, and the lowest tag is served first.
Backlogged organisations receive their weighted shares to within one request of
each of them.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterator

CLASS_WEIGHT_BASE = 4.0


@attrs.define(eq=False, kw_only=True)
class QueuedRequest:
    """A queued request.

    ``cost`` is in tokens; ``latest_start_s`` is the monotonic time after which
    the request can't meet its deadline. ``answer`` is an opaque value of the
    caller.
    """

    organisation: str
    service_class: str
    cost: float
    weight: float = 1.0
    priority: int = 0
    latest_start_s: float = float("inf")
    answer: object = None
    start_tag: float = 0.0
    is_queued: bool = False


class ClassQueue:
    """Queued requests of one class.

    ``tag`` is the start tag of the class among classes, ``virtual_time`` the
    virtual time among the organisations within it.
    """

    def __init__(self, priority: int) -> None:
        self.weight = CLASS_WEIGHT_BASE**priority
        self.tag = 0.0
        self.virtual_time = 0.0
        self.n_waiting = 0
        self.finish_tags: dict[str, float] = {}
        self.by_organisation: dict[str, deque[QueuedRequest]] = {}
        self.heap: list[tuple[float, int, QueuedRequest]] = []
        self.sequence = itertools.count()

    def push(self, queued: QueuedRequest) -> None:
        """Append a request to its organisation's queue."""
        name = queued.organisation
        queued.start_tag = max(self.virtual_time, self.finish_tags.get(name, 0.0))
        self.finish_tags[name] = queued.start_tag + queued.cost / queued.weight
        queued.is_queued = True
        self.by_organisation.setdefault(name, deque()).append(queued)
        self.n_waiting += 1
        heapq.heappush(self.heap, (queued.start_tag, next(self.sequence), queued))

    def pop(self) -> QueuedRequest:
        """Remove and return the request with the lowest start tag."""
        self._drop_removed()
        queued = heapq.heappop(self.heap)[2]
        self.virtual_time = queued.start_tag
        self._unlink(queued)
        return queued

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request, wherever it is in the queue."""
        own = self.by_organisation[queued.organisation]
        is_last = own[-1] is queued
        self._unlink(queued)
        if is_last and queued.organisation in self.finish_tags:
            self.finish_tags[queued.organisation] = queued.start_tag

    def backlog(self, organisation: str) -> float:
        """Return the queued cost of an organisation divided by its weight."""
        own = self.by_organisation.get(organisation, ())
        return sum(queued.cost / queued.weight for queued in own)

    def ordered(self) -> list[QueuedRequest]:
        """Return the queued requests by start tag."""
        return [item[2] for item in sorted(self.heap) if item[2].is_queued]

    def _unlink(self, queued: QueuedRequest) -> None:
        queued.is_queued = False
        self.n_waiting -= 1
        own = self.by_organisation[queued.organisation]
        own.remove(queued)
        if not own:
            del self.by_organisation[queued.organisation]
        if self.n_waiting == 0:
            self.heap.clear()
            self.finish_tags.clear()
            self.virtual_time = 0.0
        elif len(self.heap) > 2 * self.n_waiting + 16:
            self.heap = [item for item in self.heap if item[2].is_queued]
            heapq.heapify(self.heap)

    def _drop_removed(self) -> None:
        while not self.heap[0][2].is_queued:
            heapq.heappop(self.heap)


class FairQueue:
    """Bounded queue of the requests for one entry.

    Parameters
    ----------
    n_most : int
        Maximum number of queued requests; see :meth:`push` for overflow.
    """

    def __init__(self, n_most: int) -> None:
        self.n_most = n_most
        self.classes: dict[str, ClassQueue] = {}
        self.virtual_time = 0.0
        self.n_waiting = 0

    def __len__(self) -> int:
        return self.n_waiting

    def push(self, queued: QueuedRequest) -> QueuedRequest | None:
        """Add a request.

        Returns
        -------
        QueuedRequest or None
            The request evicted because the queue is full: the newest one of the
            organisation with the largest backlog relative to its weight. It may
            be the new request itself.
        """
        if self.n_most == 0:
            return queued
        evicted = None
        if self.n_waiting >= self.n_most:
            evicted = self._find_evicted(queued)
            if evicted is queued:
                return queued
            self.remove(evicted)
        queue = self.classes.get(queued.service_class)
        if queue is None:
            queue = ClassQueue(queued.priority)
            self.classes[queued.service_class] = queue
        if queue.n_waiting == 0:
            queue.weight = CLASS_WEIGHT_BASE**queued.priority
            queue.tag = max(queue.tag, self.virtual_time)
        queue.push(queued)
        self.n_waiting += 1
        return evicted

    def pop(self) -> QueuedRequest:
        """Remove and return the next request; the queue must not be empty."""
        queue = min(self._active(), key=lambda item: item.tag)
        queued = queue.pop()
        self.virtual_time = queue.tag
        queue.tag += queued.cost / queue.weight
        self.n_waiting -= 1
        return queued

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request from the queue; has no effect if it is not queued."""
        if queued.is_queued:
            self.classes[queued.service_class].remove(queued)
            self.n_waiting -= 1

    def ordered(self) -> Iterator[QueuedRequest]:
        """Yield the requests in the order in which :meth:`pop` would return them."""
        tags = []
        for index, queue in enumerate(self._active()):
            rest = iter(queue.ordered())
            tags.append((queue.tag, index, queue.weight, rest, next(rest)))
        heapq.heapify(tags)
        while tags:
            tag, index, weight, rest, queued = heapq.heappop(tags)
            yield queued
            following = next(rest, None)
            if following is not None:
                tag += queued.cost / weight
                heapq.heappush(tags, (tag, index, weight, rest, following))

    def _active(self) -> list[ClassQueue]:
        return [queue for queue in self.classes.values() if queue.n_waiting]

    def _find_evicted(self, new: QueuedRequest) -> QueuedRequest:
        """Return the newest request of the organisation with the largest backlog.

        The new request counts towards its organisation's backlog. Only classes
        of its priority or a lower one are considered.
        """
        worst = new
        worst_backlog = new.cost / new.weight
        own = self.classes.get(new.service_class)
        if own is not None:
            worst_backlog += own.backlog(new.organisation)
        new_weight = CLASS_WEIGHT_BASE**new.priority
        for queue in self._active():
            if queue.weight > new_weight:
                continue
            for name, requests in queue.by_organisation.items():
                backlog = queue.backlog(name) * new_weight / queue.weight
                if backlog > worst_backlog:
                    worst = requests[-1]
                    worst_backlog = backlog
        return worst
