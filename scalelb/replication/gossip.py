"""Exchanges logs over links: digests say what is held, deltas bring what the other side lacks.

Over each link a digest tells now and then what has changed since the last one, and whoever sees that the
other side lacks something sends a delta: a bounded number of bytes at a time, and always what is newest.
Nothing is queued for a slow peer, so nothing can grow.
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

COPY_BYTES_PER_S = 1_500_000  # of entries, about, that a copy asks of one link
PACING_WINDOW_MS = 1000.0
FULL_DELTA_ENTRIES = DELTA_BUDGET_BYTES // MEAN_ENTRY_BYTES // 2  # with more, the sender had more to tell


class OutgoingFrame(NamedTuple):
    """A frame to be sent over the link to a member."""

    receiver: str
    frame: WireFrame


@dataclass(slots=True)
class Link:
    """What is known of the peer at the other end.  Times are ms of the own monotonic clock."""

    name: str
    last_heard_at: float
    last_digest_at: float = -inf  # when it was last sent a digest
    announced: dict[Incarnation, LogState] = field(default_factory=dict)  # what it was told is held here
    # What it holds once all that was sent to it has arrived.
    assumed_states: dict[Incarnation, LogState] = field(default_factory=dict)
    is_settled: bool = False  # the peer is
    initial_versions: dict[Incarnation, int] | None = None  # what it held by its first digest
    has_more_initial: bool = False  # its first digest is not complete yet
    window_began_at: float = 0.0  # since when `window_bytes` counts
    window_bytes: int = 0  # of entries that came, about

    @property
    def has_complete_digest(self) -> bool:
        """Whether its first digest has come in full."""
        return self.initial_versions is not None and not self.has_more_initial

    def take_digest(self, digest: Digest, max_logs: int) -> None:
        """Remember what the peer holds, of at most `max_logs` logs."""
        self.assumed_states.update(digest.states)
        if len(self.assumed_states) > max_logs:
            self.assumed_states.clear()  # bounds the memory: the peer will tell again
        self.is_settled = digest.is_settled
        if not self.has_complete_digest:
            versions = {incarnation: state.version for incarnation, state in digest.states}
            self.initial_versions = (self.initial_versions or {}) | versions
            self.has_more_initial = digest.has_more

    def count_entries(self, count: int, now: float) -> None:
        """So many entries came."""
        if now - self.window_began_at >= PACING_WINDOW_MS:
            self.window_began_at = now
            self.window_bytes = 0
        self.window_bytes += count * MEAN_ENTRY_BYTES

    @property
    def is_paced(self) -> bool:
        """Whether no more is to be asked for within this second.  Without this live traffic would suffer, and
        the peer would be hung up on for sending more than a link may carry."""
        return self.window_bytes >= COPY_BYTES_PER_S


class Gossip:
    """The exchange of one limiter's replica over its links."""

    def __init__(self, replica: Replica, settings: ReplicationSettings) -> None:
        self.replica = replica
        self.settings = settings
        self.links: dict[str, Link] = {}
        self.turn = 0  # of the links that get a digest before their heartbeat is due

    def links_due(self, now: float, is_ready: Callable[[str], bool]) -> list[Link]:
        """The links that get a digest now: all whose heartbeat is due, and some of the others in turn if
        there is something new for them."""
        names = [name for name in self.links if is_ready(name)]
        due = [name for name in names if self._is_heartbeat_due(self.links[name], now)]
        for _ in range(min(self.settings.digests_per_tick, len(names))):
            self.turn += 1
            due.append(names[self.turn % len(names)])
        links = [self.links[name] for name in dict.fromkeys(due)]
        return [link for link in links if self._is_heartbeat_due(link, now) or self.has_news_for(link)]

    def _is_heartbeat_due(self, link: Link, now: float) -> bool:
        return now - link.last_digest_at >= self.settings.heartbeat_ms

    def has_news_for(self, link: Link) -> bool:
        """Whether writes are held here that the peer was not told of."""
        return any(
            link.announced.get(incarnation, EMPTY_LOG_STATE).version < log.version
            for incarnation, log in self.replica.logs.items()
        )

    def digest_frames(
        self, link: Link, now: float, *, is_settled: bool, wants_digest: bool
    ) -> list[OutgoingFrame]:
        """What has changed since the peer was last told; in several frames where it is much."""
        changed = [
            (incarnation, log.state)
            for incarnation, log in self.replica.logs.items()
            if link.announced.get(incarnation) != log.state
        ]
        frames = []
        for begin in range(0, max(1, len(changed)), MAX_LOGS_PER_FRAME):
            part = changed[begin : begin + MAX_LOGS_PER_FRAME]
            link.announced.update(part)
            has_more = begin + MAX_LOGS_PER_FRAME < len(changed)
            digest = Digest(part, is_settled, has_more, wants_digest and not has_more)
            frames.append(OutgoingFrame(link.name, encode_digest(digest)))
        for incarnation in [known for known in link.announced if known not in self.replica.logs]:
            del link.announced[incarnation]
        link.last_digest_at = now
        return frames

    def delta_frames(
        self, link: Link, logs: dict[Incarnation, ReplicatedLog] | None = None
    ) -> list[OutgoingFrame]:
        """What the peer lacks of `logs`, or of all logs where there are none: at most one frame."""
        left_bytes = DELTA_BUDGET_BYTES
        deltas = []
        for incarnation, log in (logs or self.replica.logs).items():
            known = link.assumed_states.get(incarnation, EMPTY_LOG_STATE)
            if known.version >= log.version:
                continue
            delta, used_bytes = _delta_of(incarnation, log, known, left_bytes)
            left_bytes -= used_bytes
            if delta.entries or delta.up_to > delta.after:
                deltas.append(delta)
                sent_floor = log.floor if delta.is_full_copy else known.floor
                link.assumed_states[incarnation] = LogState(delta.up_to, max(known.floor, sent_floor))
            if left_bytes <= 0:
                break
        return [OutgoingFrame(link.name, encode_delta(Delta(deltas)))] if deltas else []


def _delta_of(
    incarnation: Incarnation, log: ReplicatedLog, known: LogState, budget_bytes: int
) -> tuple[LogDelta, int]:
    """What a copy in the state `known` lacks of a log, in the order of its writes; and its bytes, about,
    which pass the budget by one entry at most."""
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
