"""Start-time fair queuing over flows, by units (Goyal, Vin, Cheng: "Start-time Fair Queuing", 1996).

The start tag of a flow is the virtual time at which its next request may begin: the later of the virtual time
of the queue and the finish tag of the flow's previous request.  The flow with the smallest start tag is
served next.  All operations take O(log n) amortised time: entries that were cancelled stay in the heaps, are
skipped, and are removed when they make up about half of a heap.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

T = TypeVar("T")
MAX_STALE_ENTRIES = 64  # a heap is rebuilt when its stale entries exceed its live ones by more than this
MAX_FINISH_TAGS = 2048  # idle flows whose finish tag is remembered
BACKLOG_ROUNDING = 1e-9  # units over weight: two sums of the same backlog may differ by this much


class QueueEntry(Generic[T]):
    """One queued request.  Entries sort by rank, lowest first, then by order of arrival."""

    __slots__ = ("flow", "is_queued", "item", "rank", "sequence", "units")

    def __init__(self, flow: Flow[T], units: float, rank: float, sequence: int, item: T) -> None:
        self.flow = flow
        self.units = units
        self.rank = rank
        self.sequence = sequence
        self.item = item
        self.is_queued = True

    def __lt__(self, other: QueueEntry[T]) -> bool:
        return (self.rank, self.sequence) < (other.rank, other.sequence)


@dataclass(slots=True, eq=False)
class Flow(Generic[T]):
    """One backlogged flow."""

    name: str
    weight: float
    start_tag: float  # virtual time at which its next request may begin
    entries_by_rank: list[QueueEntry[T]] = field(default_factory=list)  # a heap
    entries_by_arrival: list[QueueEntry[T]] = field(default_factory=list)
    queued_count: int = 0
    queued_units: float = 0.0
    is_paused: bool = False
    schedule_sequence: int = 0  # sequence number of its latest entry in the heap of flows; others are stale

    def next_entry(self) -> QueueEntry[T]:
        """Return the entry to be served next.  The flow must not be empty."""
        while not self.entries_by_rank[0].is_queued:
            heappop(self.entries_by_rank)
        return self.entries_by_rank[0]


class FairQueue(Generic[T]):
    """Queued requests by flow.  Iterates over all queued entries, in no order; `len` counts them."""

    def __init__(self) -> None:
        self.flows: dict[str, Flow[T]] = {}  # backlogged flows
        self.flows_by_start_tag: list[tuple[float, int, Flow[T]]] = []  # a heap; stale entries are skipped
        self.flows_by_backlog: list[tuple[float, int, Flow[T]]] = []  # a heap, the longest backlog first
        self.finish_tags: dict[str, float] = {}  # of idle flows, while they are ahead of the virtual time
        self.finish_tag_heap: list[tuple[float, str]] = []
        self.virtual_time = 0.0
        self.queued_count = 0
        self.last_sequence_number = 0  # of the entries and of the heap items
        self.queued_units = 0.0
        self.total_weight = 0.0  # sum over the backlogged flows

    def __len__(self) -> int:
        return self.queued_count

    def __iter__(self) -> Iterator[QueueEntry[T]]:
        for flow in self.flows.values():
            yield from (entry for entry in flow.entries_by_rank if entry.is_queued)

    def push(
        self,
        flow_name: str,
        weight: float,
        units: float,
        item: T,
        rank: float = 0.0,
        max_start_tag: float | None = None,
    ) -> QueueEntry[T]:
        """Queue a request.

        `weight` is used only if the flow has no backlog yet.  `max_start_tag`: the virtual time at which the
        reservation was made that the request redeems; the start tag of an idle flow is not later."""
        flow = self.flows.get(flow_name)
        if flow is None:
            start_tag = max(self.virtual_time, self.finish_tags.pop(flow_name, 0.0))
            if max_start_tag is not None:
                start_tag = min(start_tag, max_start_tag)
            flow = self.flows[flow_name] = Flow(flow_name, weight, start_tag)
            self.total_weight += weight
            self._schedule(flow)
        self.last_sequence_number += 1
        entry = QueueEntry(flow, units, rank, self.last_sequence_number, item)
        heappush(flow.entries_by_rank, entry)
        flow.entries_by_arrival.append(entry)
        flow.queued_count += 1
        flow.queued_units += units
        self.queued_count += 1
        self.queued_units += units
        self.last_sequence_number += 1
        heappush(self.flows_by_backlog, (-flow.queued_units / flow.weight, self.last_sequence_number, flow))
        if len(self.flows_by_backlog) > 2 * self.queued_count + MAX_STALE_ENTRIES:
            self.flows_by_backlog = [
                (-f.queued_units / f.weight, n, f) for n, f in enumerate(self.flows.values())
            ]
            heapify(self.flows_by_backlog)
        return entry

    def pop(self) -> QueueEntry[T] | None:
        """Remove and return the entry to be served next; None if every flow is paused or idle."""
        while self.flows_by_start_tag:
            start_tag, schedule_sequence, flow = self.flows_by_start_tag[0]
            heappop(self.flows_by_start_tag)
            if schedule_sequence != flow.schedule_sequence or not flow.queued_count or flow.is_paused:
                continue
            entry = flow.next_entry()
            heappop(flow.entries_by_rank)
            self.virtual_time = max(self.virtual_time, start_tag)
            flow.start_tag = max(start_tag, self.virtual_time) + entry.units / flow.weight
            self._remove_counts(entry)
            if flow.queued_count:
                self._schedule(flow)
                self._compact(flow)
            return entry
        return None

    def is_sparse(self, flow_name: str) -> bool:
        """Return whether an idle flow has used no more than its share, so that its next request may begin."""
        return self.finish_tags.get(flow_name, 0.0) <= self.virtual_time

    def charge_unqueued(self, flow_name: str, weight: float, units: float) -> None:
        """Charge an idle flow for a request that was forwarded without queuing.

        The next start tag of the flow is after this request.  While nothing is queued, virtual time advances
        as well, so that a flow is not penalised for using capacity that other flows leave unused."""
        start_tag = max(self.virtual_time, self.finish_tags.get(flow_name, 0.0))
        if not self.queued_count:
            self.virtual_time = start_tag
        self._remember_finish_tag(flow_name, start_tag + units / weight)

    def remove(self, entry: QueueEntry[T]) -> None:
        """Remove an entry from any position.  No effect if it is no longer queued."""
        if entry.is_queued:
            self._remove_counts(entry)
            if entry.flow.queued_count:
                self._compact(entry.flow)

    def pause(self, flow_name: str) -> None:
        """Skip a flow until `resume` is called for it.  No effect on an idle flow."""
        if flow := self.flows.get(flow_name):
            flow.is_paused = True

    def resume(self, flow_name: str) -> None:
        """Serve a paused flow again.  It is not compensated for the time for which it was paused."""
        flow = self.flows.get(flow_name)
        if flow is not None and flow.is_paused:
            flow.is_paused = False
            flow.start_tag = max(flow.start_tag, self.virtual_time)
            self._schedule(flow)

    def longest_flow(self) -> Flow[T] | None:
        """Return the flow with the longest backlog over its weight; None if nothing is queued."""
        while self.flows_by_backlog:
            known_backlog, _, flow = self.flows_by_backlog[0]
            backlog = -flow.queued_units / flow.weight
            is_backlogged = flow.queued_count and self.flows.get(flow.name) is flow
            if is_backlogged and backlog <= known_backlog + BACKLOG_ROUNDING:
                return flow
            heappop(self.flows_by_backlog)
            if is_backlogged:  # its backlog is shorter than in the heap entry: add a correct entry
                self.last_sequence_number += 1
                heappush(self.flows_by_backlog, (backlog, self.last_sequence_number, flow))
        return None

    def newest_entry(self, flow: Flow[T]) -> QueueEntry[T]:
        """Return the latest entry of a flow.  The flow must not be empty."""
        while not flow.entries_by_arrival[-1].is_queued:
            flow.entries_by_arrival.pop()
        return flow.entries_by_arrival[-1]

    def entry_to_displace(self, flow_name: str, weight: float, units: float) -> QueueEntry[T] | None:
        """Return the entry that a new request of a flow displaces from a full queue; None if there is none.

        It is the newest entry of the longest flow, if the backlog of that flow over its weight exceeds that
        of `flow_name` including the new request's `units`."""
        longest_flow = self.longest_flow()
        own_flow = self.flows.get(flow_name)
        if longest_flow is None or longest_flow is own_flow:
            return None
        own_units = own_flow.queued_units if own_flow else 0.0
        if longest_flow.queued_units / longest_flow.weight <= (own_units + units) / weight:
            return None
        return self.newest_entry(longest_flow)

    def _schedule(self, flow: Flow[T]) -> None:
        """Add a flow to the heap by its start tag; its older entries in the heap become stale."""
        self.last_sequence_number += 1
        flow.schedule_sequence = self.last_sequence_number
        heappush(self.flows_by_start_tag, (flow.start_tag, flow.schedule_sequence, flow))
        if len(self.flows_by_start_tag) > 2 * len(self.flows) + MAX_STALE_ENTRIES:
            self.flows_by_start_tag = [
                (f.start_tag, f.schedule_sequence, f)
                for f in self.flows.values()
                if f.queued_count and not f.is_paused
            ]
            heapify(self.flows_by_start_tag)

    def _compact(self, flow: Flow[T]) -> None:
        """Remove the stale entries of a flow if there are too many."""
        if max(len(flow.entries_by_rank), len(flow.entries_by_arrival)) > (
            2 * flow.queued_count + MAX_STALE_ENTRIES
        ):
            flow.entries_by_arrival = [entry for entry in flow.entries_by_arrival if entry.is_queued]
            flow.entries_by_rank = list(flow.entries_by_arrival)
            heapify(flow.entries_by_rank)

    def _remove_counts(self, entry: QueueEntry[T]) -> None:
        """Subtract an entry from all counts; a flow without entries becomes idle."""
        flow = entry.flow
        entry.is_queued = False
        flow.queued_count -= 1
        flow.queued_units -= entry.units
        self.queued_count -= 1
        self.queued_units -= entry.units
        if not flow.queued_count:
            del self.flows[flow.name]
            self.total_weight -= flow.weight
            self._remember_finish_tag(flow.name, flow.start_tag)
        if not self.queued_count:  # rounding errors would accumulate otherwise
            self.queued_units = 0.0
            self.total_weight = 0.0

    def _remember_finish_tag(self, flow_name: str, finish_tag: float) -> None:
        """Remember the finish tag of an idle flow if it is ahead of the virtual time.

        Drops the tags that no longer are, and the smallest ones if there are more than `MAX_FINISH_TAGS`."""
        if finish_tag > self.virtual_time:
            self.finish_tags[flow_name] = finish_tag
            heappush(self.finish_tag_heap, (finish_tag, flow_name))
        while self.finish_tag_heap:
            smallest_tag, name = self.finish_tag_heap[0]
            is_stale = self.finish_tags.get(name) != smallest_tag
            if not is_stale and smallest_tag > self.virtual_time and len(self.finish_tags) <= MAX_FINISH_TAGS:
                break
            heappop(self.finish_tag_heap)
            if not is_stale:
                del self.finish_tags[name]
        if len(self.finish_tag_heap) > 2 * len(self.finish_tags) + MAX_STALE_ENTRIES:
            self.finish_tag_heap = [(tag, name) for name, tag in self.finish_tags.items()]
            heapify(self.finish_tag_heap)
