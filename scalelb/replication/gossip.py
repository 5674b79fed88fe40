"""Exchanges logs over links: digests announce what is held, deltas carry what the other side lacks.

Each link regularly carries a digest of the logs that have changed since the previous one. A limiter that sees
that its peer lacks something sends a delta. Deltas are limited in size and always contain the newest values.
Nothing is queued for a slow peer, so memory use stays bounded.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from typing import NamedTuple

from scalelb.replication.frames import (
    DELTA_BUDGET_BYTES,
    ENTRY_OVERHEAD_BYTES,
    MAX_LOGS_PER_FRAME,
    MEAN_ENTRY_BYTES,
    Delta,
    Digest,
    LogDelta,
    WireFrame,
    encode_delta,
    encode_digest,
    encoded_bytes,
)
from scalelb.replication.replicated_log import (
    EMPTY_LOG_STATE,
    Entry,
    Incarnation,
    LogState,
    Replica,
    ReplicatedLog,
)
from scalelb.replication.settings import ReplicationSettings

COPY_BYTES_PER_S = 1_500_000  # approximate rate of entries that a copy requests over one link
PACING_WINDOW_MS = 1000.0
FULL_DELTA_ENTRIES = DELTA_BUDGET_BYTES // MEAN_ENTRY_BYTES // 2  # a sender of more entries has more to send


class OutgoingFrame(NamedTuple):
    """A frame to be sent over the link to a member."""

    receiver: str
    frame: WireFrame


@dataclass(slots=True)
class Link:
    """What is known of the peer at the other end of a link.

    Times are in milliseconds of the limiter's own monotonic clock.
    """

    name: str
    last_received_at: float
    last_digest_at: float = -inf  # when a digest was last sent to the peer
    announced: dict[Incarnation, LogState] = field(default_factory=dict)  # own states the peer was sent
    # The peer's states once it has received everything that was sent to it.
    assumed_states: dict[Incarnation, LogState] = field(default_factory=dict)
    is_settled: bool = False  # whether the peer has settled
    initial_versions: dict[Incarnation, int] | None = None  # versions in the peer's first digest
    has_more_initial: bool = False  # further frames of the first digest are expected
    window_started_at: float = 0.0  # start of the window that `window_bytes` counts
    window_bytes: int = 0  # approximate size of the entries received in the window

    @property
    def has_complete_digest(self) -> bool:
        """Whether all frames of the peer's first digest have been received."""
        return self.initial_versions is not None and not self.has_more_initial

    def record_digest(self, digest: Digest, max_logs: int) -> None:
        """Records what the peer holds, for at most `max_logs` logs."""
        self.assumed_states.update(digest.states)
        if len(self.assumed_states) > max_logs:
            self.assumed_states.clear()  # bounds the memory; the peer announces its states again
        self.is_settled = digest.is_settled
        if not self.has_complete_digest:
            versions = {incarnation: state.version for incarnation, state in digest.states}
            self.initial_versions = (self.initial_versions or {}) | versions
            self.has_more_initial = digest.has_more

    def count_entries(self, count: int, now: float) -> None:
        """Counts received entries towards the pacing window."""
        if now - self.window_started_at >= PACING_WINDOW_MS:
            self.window_started_at = now
            self.window_bytes = 0
        self.window_bytes += count * MEAN_ENTRY_BYTES

    @property
    def is_paced(self) -> bool:
        """Whether the limit for this window is reached, so that no more entries are requested.

        Without this limit a full copy would delay live traffic, and the link would be closed because the peer
        exceeds the rate that a link may carry.
        """
        return self.window_bytes >= COPY_BYTES_PER_S


class Gossip:
    """Exchanges the replica of one limiter over its links."""

    def __init__(self, replica: Replica, settings: ReplicationSettings) -> None:
        self.replica = replica
        self.settings = settings
        self.links: dict[str, Link] = {}
        self.round_robin_position = 0  # of the links that get a digest before their heartbeat is due

    def links_due(self, now: float, is_ready: Callable[[str], bool]) -> list[Link]:
        """Returns the links that get a digest now.

        These are all links whose heartbeat is due, and some of the others in turn if there are updates for
        them.
        """
        names = [name for name in self.links if is_ready(name)]
        due = [name for name in names if self._is_heartbeat_due(self.links[name], now)]
        for _ in range(min(self.settings.digests_per_tick, len(names))):
            self.round_robin_position += 1
            due.append(names[self.round_robin_position % len(names)])
        links = [self.links[name] for name in dict.fromkeys(due)]
        return [link for link in links if self._is_heartbeat_due(link, now) or self.has_updates_for(link)]

    def _is_heartbeat_due(self, link: Link, now: float) -> bool:
        return now - link.last_digest_at >= self.settings.heartbeat_ms

    def has_updates_for(self, link: Link) -> bool:
        """Whether there are writes that were not yet announced to the peer."""
        return any(
            link.announced.get(incarnation, EMPTY_LOG_STATE).version < log.version
            for incarnation, log in self.replica.logs.items()
        )

    def digest_frames(
        self, link: Link, now: float, *, is_settled: bool, wants_digest: bool
    ) -> list[OutgoingFrame]:
        """Returns a digest of the states not yet announced to the peer, split into frames if it is long."""
        changed = [
            (incarnation, log.state)
            for incarnation, log in self.replica.logs.items()
            if link.announced.get(incarnation) != log.state
        ]
        frames = []
        for begin in range(0, max(1, len(changed)), MAX_LOGS_PER_FRAME):
            chunk = changed[begin : begin + MAX_LOGS_PER_FRAME]
            link.announced.update(chunk)
            has_more = begin + MAX_LOGS_PER_FRAME < len(changed)
            digest = Digest(chunk, is_settled, has_more, wants_digest and not has_more)
            frames.append(OutgoingFrame(link.name, encode_digest(digest)))
        for incarnation in [known for known in link.announced if known not in self.replica.logs]:
            del link.announced[incarnation]
        link.last_digest_at = now
        return frames

    def delta_frames(
        self, link: Link, logs: dict[Incarnation, ReplicatedLog] | None = None
    ) -> list[OutgoingFrame]:
        """Returns the entries that the peer lacks, in at most one frame.

        Only `logs` are considered, or all logs if `logs` is None or empty.
        """
        remaining_bytes = DELTA_BUDGET_BYTES
        deltas = []
        for incarnation, log in (logs or self.replica.logs).items():
            known = link.assumed_states.get(incarnation, EMPTY_LOG_STATE)
            if known.version >= log.version:
                continue
            delta, used_bytes = _delta_of(incarnation, log, known, remaining_bytes)
            remaining_bytes -= used_bytes
            if delta.entries or delta.up_to > delta.after:
                deltas.append(delta)
                sent_floor = log.floor if delta.is_full_copy else known.floor
                link.assumed_states[incarnation] = LogState(delta.up_to, max(known.floor, sent_floor))
            if remaining_bytes <= 0:
                break
        return [OutgoingFrame(link.name, encode_delta(Delta(deltas)))] if deltas else []


def _delta_of(
    incarnation: Incarnation, log: ReplicatedLog, known: LogState, budget_bytes: int
) -> tuple[LogDelta, int]:
    """Returns the entries that a copy in the state `known` lacks, and their approximate size in bytes.

    The entries are in the order of their writes. Their size exceeds the budget by at most one entry.
    """
    is_full_copy = known.version < log.floor and known.floor < log.floor
    after = 0 if is_full_copy else known.version
    up_to = log.version
    entries: list[tuple[str, Entry]] = []
    used_bytes = 0
    for key, entry in log.entries_after(after):
        if used_bytes >= budget_bytes:
            up_to = entries[-1][1].version if entries else after
            break
        entries.append((key, entry))
        used_bytes += ENTRY_OVERHEAD_BYTES + len(key) + encoded_bytes(entry.value)
    return LogDelta(incarnation, after, up_to, log.floor, is_full_copy, entries), used_bytes
