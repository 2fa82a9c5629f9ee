"""A bounded queue, fair by organisation within a class and among classes.

Start-time fair queueing: each request gets a start tag in virtual time, which
runs by cost over weight; the least tag goes first. While several organisations
have requests waiting, each gets its weighted share to within one request of
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
class Waiting:
    """A request in the queue.

    ``cost`` is in tokens; ``latest_start_s`` is the monotonic time after which
    it can't meet its deadline. ``answer`` is for the queue's user.
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
    """The requests of one class; ``tag`` is the class's own virtual time."""

    def __init__(self, priority: int) -> None:
        self.weight = CLASS_WEIGHT_BASE**priority
        self.tag = 0.0
        self.time = 0.0
        self.n_waiting = 0
        self.finish_tags: dict[str, float] = {}
        self.by_organisation: dict[str, deque[Waiting]] = {}
        self.heap: list[tuple[float, int, Waiting]] = []
        self.sequence = itertools.count()

    def push(self, waiting: Waiting) -> None:
        """Add a request at the end of its organisation's."""
        name = waiting.organisation
        waiting.start_tag = max(self.time, self.finish_tags.get(name, 0.0))
        self.finish_tags[name] = waiting.start_tag + waiting.cost / waiting.weight
        waiting.is_queued = True
        self.by_organisation.setdefault(name, deque()).append(waiting)
        self.n_waiting += 1
        heapq.heappush(self.heap, (waiting.start_tag, next(self.sequence), waiting))

    def pop(self) -> Waiting:
        """Take the request of least start tag."""
        self._drop_removed()
        waiting = heapq.heappop(self.heap)[2]
        self.time = waiting.start_tag
        self._forget(waiting)
        return waiting

    def remove(self, waiting: Waiting) -> None:
        """Take a request out of turn."""
        own = self.by_organisation[waiting.organisation]
        is_last = own[-1] is waiting
        self._forget(waiting)
        if is_last and waiting.organisation in self.finish_tags:
            self.finish_tags[waiting.organisation] = waiting.start_tag

    def backlog(self, organisation: str) -> float:
        """Return the waiting cost of an organisation over its weight."""
        own = self.by_organisation.get(organisation, ())
        return sum(waiting.cost / waiting.weight for waiting in own)

    def ordered(self) -> list[Waiting]:
        """Return the requests in the order of their start tags."""
        return [item[2] for item in sorted(self.heap) if item[2].is_queued]

    def _forget(self, waiting: Waiting) -> None:
        waiting.is_queued = False
        self.n_waiting -= 1
        own = self.by_organisation[waiting.organisation]
        own.remove(waiting)
        if not own:
            del self.by_organisation[waiting.organisation]
        if self.n_waiting == 0:
            self.heap.clear()
            self.finish_tags.clear()
            self.time = 0.0
        elif len(self.heap) > 2 * self.n_waiting + 16:
            self.heap = [item for item in self.heap if item[2].is_queued]
            heapq.heapify(self.heap)

    def _drop_removed(self) -> None:
        while not self.heap[0][2].is_queued:
            heapq.heappop(self.heap)


class FairQueue:
    """Requests that wait for an entry.

    Parameters
    ----------
    n_most : int
        Requests that may wait; see :meth:`push` for what happens beyond.
    """

    def __init__(self, n_most: int) -> None:
        self.n_most = n_most
        self.classes: dict[str, ClassQueue] = {}
        self.time = 0.0
        self.n_waiting = 0

    def __len__(self) -> int:
        return self.n_waiting

    def push(self, waiting: Waiting) -> Waiting | None:
        """Add a request.

        Returns
        -------
        Waiting or None
            The request that is refused since the queue is full: the last one
            of the organisation with the greatest backlog for its weight, which
            may be the new one.
        """
        if self.n_most == 0:
            return waiting
        evicted = None
        if self.n_waiting >= self.n_most:
            evicted = self._find_evicted(waiting)
            if evicted is waiting:
                return waiting
            self.remove(evicted)
        queue = self.classes.get(waiting.service_class)
        if queue is None:
            queue = ClassQueue(waiting.priority)
            self.classes[waiting.service_class] = queue
        if queue.n_waiting == 0:
            queue.weight = CLASS_WEIGHT_BASE**waiting.priority
            queue.tag = max(queue.tag, self.time)
        queue.push(waiting)
        self.n_waiting += 1
        return evicted

    def pop(self) -> Waiting:
        """Take the next request; the queue must not be empty."""
        queue = min(self._active(), key=lambda item: item.tag)
        waiting = queue.pop()
        self.time = queue.tag
        queue.tag += waiting.cost / queue.weight
        self.n_waiting -= 1
        return waiting

    def remove(self, waiting: Waiting) -> None:
        """Take a request out of turn; does nothing if it is not waiting."""
        if waiting.is_queued:
            self.classes[waiting.service_class].remove(waiting)
            self.n_waiting -= 1

    def ordered(self) -> Iterator[Waiting]:
        """Yield the requests in the order in which they would be taken now."""
        tags = []
        for index, queue in enumerate(self._active()):
            rest = iter(queue.ordered())
            tags.append((queue.tag, index, queue.weight, rest, next(rest)))
        heapq.heapify(tags)
        while tags:
            tag, index, weight, rest, waiting = heapq.heappop(tags)
            yield waiting
            following = next(rest, None)
            if following is not None:
                tag += waiting.cost / weight
                heapq.heappush(tags, (tag, index, weight, rest, following))

    def _active(self) -> list[ClassQueue]:
        return [queue for queue in self.classes.values() if queue.n_waiting]

    def _find_evicted(self, new: Waiting) -> Waiting:
        """Return the last request of the greatest backlog, the new one's too.

        Only classes of the new one's priority or a lower one are looked at.
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
