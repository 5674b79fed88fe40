"""Start-time fair queuing over flows, by units (Goyal, Vin, Cheng: "Start-time Fair Queuing", 1996).

A flow's start tag is the virtual time at which its next request may begin: the later of the queue's virtual
time and the finish tag of the request before.  The least start tag goes next.  All steps are O(log n); what
is cancelled is skipped and swept once it is half of what is kept.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

T = TypeVar("T")
SLACK = 64  # stale entries that a heap may hold before it is swept
FINISHED_MOST = 2048  # finish tags of idle flows that are remembered


class QueueEntry(Generic[T]):
    """One request that waits."""

    __slots__ = ("alive", "flow", "item", "order", "rank", "units")

    def __init__(self, flow: Flow[T], units: float, rank: float, order: int, item: T) -> None:
        self.flow, self.units, self.rank, self.order, self.item = flow, units, rank, order, item
        self.alive = True

    def __lt__(self, other: QueueEntry[T]) -> bool:
        return (self.rank, self.order) < (other.rank, other.order)


@dataclass(slots=True, eq=False)
class Flow(Generic[T]):
    """One backlogged flow.  Within it the lower rank goes first, then the order of arrival."""

    name: str
    weight: float
    start: float  # tag of its next request
    entries: list[QueueEntry[T]] = field(default_factory=list)  # a heap
    arrived: list[QueueEntry[T]] = field(default_factory=list)  # the same, in order of arrival
    count: int = 0  # of them that are alive
    units: float = 0.0  # of those
    parked: bool = False  # passed over for now
    stamp: int = 0  # of its newest place in the heap of flows

    def head(self) -> QueueEntry[T]:
        """The next request; there is one."""
        while not self.entries[0].alive:
            heappop(self.entries)
        return self.entries[0]


class FairQueue(Generic[T]):
    """Requests that wait, by flow."""

    def __init__(self) -> None:
        self.flows: dict[str, Flow[T]] = {}  # those with something that waits
        self.ready: list[tuple[float, int, Flow[T]]] = []  # a heap of start tags; old stamps are skipped
        self.longest_first: list[tuple[float, int, Flow[T]]] = []  # a heap of backlogs
        self.finished: dict[str, float] = {}  # finish tags of idle flows that lie ahead of the virtual time
        self.finish_order: list[tuple[float, str]] = []
        self.virtual = 0.0
        self.count = self.order = 0
        self.units = self.weights = 0.0

    def __len__(self) -> int:
        return self.count

    def __iter__(self) -> Iterator[QueueEntry[T]]:
        """All that wait, in no order."""
        for flow in self.flows.values():
            yield from (entry for entry in flow.entries if entry.alive)

    def push(
        self, name: str, weight: float, units: float, item: T, rank: float = 0.0, before: float | None = None
    ) -> QueueEntry[T]:
        """Let a request wait.  `before`: a start tag that was promised to it earlier."""
        flow = self.flows.get(name)
        if flow is None:
            start = max(self.virtual, self.finished.pop(name, 0.0))
            if before is not None:
                start = min(start, before)
            flow = self.flows[name] = Flow(name, weight, start)
            self.weights += weight
            self._place(flow)
        self.order += 1
        entry = QueueEntry(flow, units, rank, self.order, item)
        heappush(flow.entries, entry)
        flow.arrived.append(entry)
        flow.count, flow.units = flow.count + 1, flow.units + units
        self.count, self.units = self.count + 1, self.units + units
        self.order += 1
        heappush(self.longest_first, (-flow.units / flow.weight, self.order, flow))
        if len(self.longest_first) > 2 * self.count + SLACK:
            self.longest_first = [(-f.units / f.weight, n, f) for n, f in enumerate(self.flows.values())]
            heapify(self.longest_first)
        return entry

    def pop(self) -> QueueEntry[T] | None:
        """Take what goes next; nothing where every flow is parked or empty."""
        while self.ready:
            start, stamp, flow = self.ready[0]
            if stamp != flow.stamp or not flow.count or flow.parked:
                heappop(self.ready)
                continue
            heappop(self.ready)
            entry = flow.head()
            heappop(flow.entries)
            self.virtual = max(self.virtual, start)
            flow.start = max(start, self.virtual) + entry.units / flow.weight
            self._out(entry)
            if flow.count:
                self._place(flow)
                self._sweep(flow)
            return entry
        return None

    def behind(self, name: str) -> bool:
        """Whether an idle flow has had no more than its share: what it asks for next is due already."""
        return self.finished.get(name, 0.0) <= self.virtual

    def charge(self, name: str, weight: float, units: float) -> None:
        """A request of an idle flow went without waiting: its flow's next one begins after it.  While nobody
        waits, virtual time goes on with it: what one uses that others leave is not held against it."""
        start = max(self.virtual, self.finished.get(name, 0.0))
        if not self.count:
            self.virtual = start
        self._finish(name, start + units / weight)

    def remove(self, entry: QueueEntry[T]) -> None:
        """Take out one that waits, for whatever reason."""
        if entry.alive:
            self._out(entry)
            if entry.flow.count:
                self._sweep(entry.flow)

    def park(self, name: str) -> None:
        """Pass a flow over until `unpark`."""
        if flow := self.flows.get(name):
            flow.parked = True

    def unpark(self, name: str) -> None:
        """Let a flow go on from now: it missed nothing that it may catch up on."""
        flow = self.flows.get(name)
        if flow is not None and flow.parked:
            flow.parked, flow.start = False, max(flow.start, self.virtual)
            self._place(flow)

    def longest(self) -> Flow[T] | None:
        """The flow whose backlog over its weight is longest."""
        while self.longest_first:
            told, _, flow = self.longest_first[0]
            now = -flow.units / flow.weight
            if flow.count and self.flows.get(flow.name) is flow and now <= told + 1e-9:
                return flow
            heappop(self.longest_first)
            if flow.count and self.flows.get(flow.name) is flow:  # shorter by now: put back where it belongs
                self.order += 1
                heappush(self.longest_first, (now, self.order, flow))
        return None

    def last(self, flow: Flow[T]) -> QueueEntry[T]:
        """What of a flow came last; it has something that waits."""
        while not flow.arrived[-1].alive:
            flow.arrived.pop()
        return flow.arrived[-1]

    def _place(self, flow: Flow[T]) -> None:
        self.order += 1
        flow.stamp = self.order
        heappush(self.ready, (flow.start, flow.stamp, flow))
        if len(self.ready) > 2 * len(self.flows) + SLACK:
            self.ready = [(f.start, f.stamp, f) for f in self.flows.values() if f.count and not f.parked]
            heapify(self.ready)

    def _sweep(self, flow: Flow[T]) -> None:
        if max(len(flow.entries), len(flow.arrived)) > 2 * flow.count + SLACK:
            flow.arrived = [e for e in flow.arrived if e.alive]
            flow.entries = list(flow.arrived)
            heapify(flow.entries)

    def _out(self, entry: QueueEntry[T]) -> None:
        flow, entry.alive = entry.flow, False
        flow.count, flow.units = flow.count - 1, flow.units - entry.units
        self.count, self.units = self.count - 1, self.units - entry.units
        if not flow.count:
            del self.flows[flow.name]
            self.weights -= flow.weight
            self._finish(flow.name, flow.start)
        if not self.count:  # guards the sums against what floats leave behind
            self.units = self.weights = 0.0

    def _finish(self, name: str, tag: float) -> None:
        """Remember how far an idle flow has been served, while that is ahead of the others."""
        if tag > self.virtual:
            self.finished[name] = tag
            heappush(self.finish_order, (tag, name))
        while self.finish_order:
            least, other = self.finish_order[0]
            stale = self.finished.get(other) != least
            if not stale and least > self.virtual and len(self.finished) <= FINISHED_MOST:
                break
            heappop(self.finish_order)
            if not stale:
                del self.finished[other]
        if len(self.finish_order) > 2 * len(self.finished) + SLACK:
            self.finish_order = [(tag, name) for name, tag in self.finished.items()]
            heapify(self.finish_order)
