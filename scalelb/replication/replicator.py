"""The replica of one limiter and its exchange with peers.

The replicator does no I/O: links are names, frames are values, and time is passed in, in milliseconds of a
monotonic clock that is never compared with another limiter's clock.

A limiter's own writes don't wait for a digest: `push` sends them at once over the first two links that are
ready, so that two peers hold them if the process dies shortly after.

An incarnation settles before it writes anything. It has settled when it holds everything that each settled
peer held when their link came up, or when it has been without a settled peer for `settle_alone_after_ms`. An
earlier incarnation that still runs, for example after a stall, is closed when it sees the log of a newer
incarnation of its name. The logs of earlier incarnations are kept until the newest one has used their entries
and closes them (`close_earlier_incarnations`); then all members drop them permanently.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from scalelb.replication.frames import (
    MAX_NONCE,
    Delta,
    Digest,
    LogDelta,
    MalformedFrameError,
    decode_frame,
)
from scalelb.replication.gossip import FULL_DELTA_ENTRIES, Gossip, Link, OutgoingFrame
from scalelb.replication.membership import DOWN_KEY_PREFIX, Membership, MemberState
from scalelb.replication.replicated_log import (
    CLOSED_KEY,
    EMPTY_LOG_STATE,
    MAX_ENTRIES,
    Incarnation,
    LogState,
    Replica,
    ReplicatedLog,
)
from scalelb.replication.settings import ReplicationSettings
from scalelb.replication.settling import Settling, SettlingState
from scalelb.replication.topology import Topology

HEARTBEAT_KEY = "!beat"  # rewritten to refute reports that this limiter is down
MAX_LOGS_PER_MEMBER = 16
EXTRA_LOGS = 64


class Replicator:
    """The replica of one incarnation of one limiter.

    `on_settled`, `on_closed` and `on_entry` are callbacks to its owner.
    """

    def __init__(
        self, settings: ReplicationSettings, nonce: int, now: float, log: Callable[..., None]
    ) -> None:
        """Creates the replica of a new incarnation, with a random `nonce`.

        Raises ValueError if the name in the settings is not one of the members.
        """
        self.settings = settings
        self.nonce = nonce % MAX_NONCE
        self.log = log
        self.topology = Topology(settings.name, settings.members)
        self.replica = Replica(MAX_LOGS_PER_MEMBER * len(self.topology.members) + EXTRA_LOGS)
        self.gossip = Gossip(self.replica, settings)
        self.links = self.gossip.links
        self.membership = Membership(settings, self.topology, self.replica, self.links, now)
        self.settling = Settling(settings, self.topology, self.replica, self.links, now)
        self.incarnation = Incarnation(settings.name, 0, self.nonce)  # number 0 until it has settled
        self.is_settled = False
        self.unsettled_writes: dict[str, Any] = {}  # newest value of each key, written once settled
        self.is_closed = False  # whether a newer incarnation of this name has replaced this one
        self.rejected_frames = 0  # number of malformed frames received
        self.on_settled: Callable[[], None] = lambda: None
        self.on_closed: Callable[[], None] = lambda: None
        self.on_entry: Callable[[Incarnation, str, Any], None] = lambda incarnation, key, value: None

    # Links

    def links_to_dial(self, choose: Callable[[list[str]], str]) -> list[str]:
        """Returns the members to dial now; `choose` picks one from a list."""
        return self.topology.members_to_dial(self.links, choose)

    def link_up(self, name: str, now: float) -> None:
        """Handles a new link to a member."""
        self.links[name] = Link(name, now)
        self.membership.link_lost_at.pop(name, None)

    def link_down(self, name: str, now: float) -> None:
        """Handles the end of a link."""
        if self.links.pop(name, None) is not None:
            self.membership.link_lost_at.setdefault(name, now)

    # Own writes

    def write(self, key: str, value: Any, now: float) -> None:
        """Writes an entry of this incarnation. The value None deletes the entry.

        Writes are discarded when the incarnation is closed, and new entries beyond `MAX_ENTRIES` are
        discarded. Before the incarnation has settled, writes are buffered until then.
        """
        if self.is_closed:
            return
        if not self.is_settled:
            self._buffer_until_settled(key, value)
            return
        own = self.replica.find_or_create_log(self.incarnation)
        if own is None:
            return
        if value is not None and len(own.entries) >= MAX_ENTRIES and key not in own.entries:
            return
        own.write(key, value, now)

    def _buffer_until_settled(self, key: str, value: Any) -> None:
        if value is None:
            self.unsettled_writes.pop(key, None)
        elif len(self.unsettled_writes) < MAX_ENTRIES or key in self.unsettled_writes:
            self.unsettled_writes[key] = value

    def own_log(self) -> ReplicatedLog:
        """Returns the log of this incarnation, or an empty log if nothing was written."""
        return self.replica.logs.get(self.incarnation) or ReplicatedLog()

    def earlier_incarnations(self) -> list[Incarnation]:
        """Returns the known incarnations of this name before this one, oldest first."""
        incarnations = self.replica.incarnations(self.settings.name)
        return [incarnation for incarnation in incarnations if incarnation < self.incarnation]

    def close_earlier_incarnations(self, now: float) -> None:
        """Closes the logs of earlier incarnations, so that all members drop them.

        Call this once everything in these logs has been used.
        """
        if self.earlier_incarnations():
            self.write(CLOSED_KEY, self.incarnation.number, now)
            self._drop_closed_logs(self.settings.name)

    # Periodic work

    def tick(self, now: float, is_ready: Callable[[str], bool]) -> list[OutgoingFrame]:
        """Returns the frames to send now.

        There are none for a peer that is not ready: it gets the newest state once it is.
        """
        if not self.is_settled:
            self._try_to_settle(now)
        else:
            self._report_unresponsive_neighbours(now)
            self.own_log().drop_old_tombstones(now)
        frames: list[OutgoingFrame] = []
        for link in self.gossip.links_due(now, is_ready):
            frames += self._digest_frames(link, now, wants_digest=True)
        return frames

    def push(self, is_ready: Callable[[str], bool]) -> list[OutgoingFrame]:
        """Returns frames with own writes for the first links that are ready."""
        if not self.is_settled or self.is_closed:
            return []
        links = [link for link in self.links.values() if link.has_complete_digest]
        links = [link for link in links if is_ready(link.name)][: self.settings.push_targets]
        own = {self.incarnation: self.own_log()}
        return [frame for link in links for frame in self.gossip.delta_frames(link, own)]

    def _digest_frames(self, link: Link, now: float, *, wants_digest: bool) -> list[OutgoingFrame]:
        return self.gossip.digest_frames(link, now, is_settled=self.is_settled, wants_digest=wants_digest)

    def _report_unresponsive_neighbours(self, now: float) -> None:
        membership = self.membership
        unresponsive = membership.unresponsive_neighbours(now)
        own_entries = self.own_log().entries
        for name in self.topology.neighbours:
            key = DOWN_KEY_PREFIX + name
            entry = own_entries.get(key)
            report = membership.report_on(name, name in unresponsive)
            if (entry.value if entry is not None else None) != report:
                self.write(key, report, now)
        is_reported = any(True for _ in membership.reporters(self.settings.name, self.incarnation))
        heartbeat = own_entries.get(HEARTBEAT_KEY)
        is_due = heartbeat is None or now - heartbeat.value >= self.settings.heartbeat_ms
        if is_reported and is_due:
            self.write(HEARTBEAT_KEY, now, now)  # advances the log, which refutes the reports

    # Frames

    def receive(self, name: str, message: Any, now: float) -> list[OutgoingFrame]:
        """Processes a frame from a peer and returns the frames to send.

        Raises `MalformedFrameError` if the frame is invalid; nothing of it is applied then.
        """
        link = self.links.get(name)
        if link is None:
            return []
        if not isinstance(message, dict):
            raise MalformedFrameError("frame: not a JSON object")
        link.last_received_at = now
        frame = decode_frame(message, self.topology.members)
        if isinstance(frame, Digest):
            return self._receive_digest(link, frame, now)
        return self._receive_delta(link, frame, now)

    def _receive_digest(self, link: Link, digest: Digest, now: float) -> list[OutgoingFrame]:
        link.record_digest(digest, self.replica.max_logs)
        states = dict(digest.states)
        if self.settings.name in {incarnation.name for incarnation in states}:
            self._start_new_incarnation_if_forged(states.get(self.incarnation), now)
        frames = self.gossip.delta_frames(link)
        if digest.wants_digest:
            is_half_interval_over = now - link.last_digest_at >= self.settings.heartbeat_ms / 2
            if self.gossip.has_updates_for(link) or is_half_interval_over:
                frames += self._digest_frames(link, now, wants_digest=False)
        return frames

    def _receive_delta(self, link: Link, delta: Delta, now: float) -> list[OutgoingFrame]:
        for log_delta in delta.logs:
            self._merge(link, log_delta, now)
        count = sum(len(log_delta.entries) for log_delta in delta.logs)
        link.count_entries(count, now)
        # A full delta means that the peer has more: without this request a copy that is far behind would wait
        # for the next digest.
        if count > FULL_DELTA_ENTRIES and not link.is_paced:
            return self._digest_frames(link, now, wants_digest=True)
        return []

    def _merge(self, link: Link, delta: LogDelta, now: float) -> None:
        incarnation = delta.incarnation
        if incarnation == self.incarnation or self.replica.is_closed(incarnation):
            return
        log = self.replica.find_or_create_log(incarnation)
        if log is None:
            return
        if delta.is_full_copy and log.floor < delta.floor:
            self._notify_entries_deleted(incarnation, log)
            log.begin_full_copy(delta.floor)
        version_before = log.version
        merged = log.merge(delta.after, delta.up_to, delta.floor, delta.entries, now)
        if merged is None:  # a gap: announce the state here again, so that the peer resends
            link.announced.pop(incarnation, None)
            return
        known = link.assumed_states.get(incarnation, EMPTY_LOG_STATE)
        # The peer holds these entries, so they are neither sent back nor announced to it.
        link.assumed_states[incarnation] = LogState(
            max(known.version, delta.up_to), max(known.floor, delta.floor)
        )
        if log.version == delta.up_to:
            link.announced[incarnation] = log.state
        if log.version > version_before:
            self.settling.last_copied_at = now
            self.membership.log_advanced_at[incarnation.name] = now
        for key, value in merged:
            self._apply_entry(incarnation, key, value)
        if len(log.entries) > MAX_ENTRIES:  # bounds the memory, as a peer may send any number of entries
            self.log("peers", level="warning", what="replicated log is too long", life=list(incarnation))
            self.replica.drop(incarnation)

    def _apply_entry(self, incarnation: Incarnation, key: str, value: Any) -> None:
        is_newer_self = incarnation.name == self.incarnation.name and incarnation > self.incarnation
        if self.is_settled and is_newer_self:
            self._mark_closed(incarnation)
        if key == CLOSED_KEY:
            self._drop_closed_logs(incarnation.name)
        else:
            self.on_entry(incarnation, key, value)

    # Incarnations of one name

    def _drop_closed_logs(self, name: str) -> None:
        """Drops the logs that a newer incarnation has closed, permanently, to bound the memory."""
        for incarnation in self._closed_incarnations(name):
            self._notify_entries_deleted(incarnation, self.replica.logs[incarnation])
            self.replica.drop(incarnation)

    def _closed_incarnations(self, name: str) -> list[Incarnation]:
        return [known for known in self.replica.incarnations(name) if self.replica.is_closed(known)]

    def _notify_entries_deleted(self, incarnation: Incarnation, log: ReplicatedLog) -> None:
        for key, _ in list(log.live_entries()):
            self.on_entry(incarnation, key, None)

    def _start_new_incarnation_if_forged(self, state: LogState | None, now: float) -> None:
        """Starts a new incarnation if a peer holds a forged log of this one.

        Only this process may write the log of its incarnation. If a peer holds a newer version than was
        written here, the log was forged. The new incarnation, which no peer knows yet, closes the old log.
        """
        if not self.is_settled or self.is_closed or state is None:
            return
        if state.version <= self.own_log().version:
            return
        self.log("peers", level="warning", what="another writes in this name", version=state.version)
        entries = dict(self.own_log().live_entries())
        self.replica.drop(self.incarnation)
        self.incarnation = Incarnation(self.incarnation.name, self.incarnation.number + 1, self.nonce)
        for key, value in entries.items():
            self.write(key, value, now)
        self.write(CLOSED_KEY, self.incarnation.number, now)

    def _mark_closed(self, newer: Incarnation) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.unsettled_writes.clear()
            self.log("peers", level="warning", what="a newer life of this name has closed this one", by=newer)
            self.on_closed()

    def _try_to_settle(self, now: float) -> None:
        state = self.settling.state(now)
        if state is SettlingState.COPYING:
            return
        newest = self.replica.newest_incarnation(self.settings.name)
        number = newest.number if newest is not None else 0
        self.incarnation = Incarnation(self.settings.name, number + 1, self.nonce)
        self.is_settled = True
        is_alone = state is SettlingState.ALONE
        took_ms = round(now - self.settling.started_at)
        self.log("settled", life=self.incarnation.number, alone=is_alone, took_ms=took_ms)
        self.write(HEARTBEAT_KEY, now, now)
        for key, value in self.unsettled_writes.items():
            self.write(key, value, now)
        self.unsettled_writes.clear()
        self.on_settled()

    # Members

    def is_isolated(self, now: float) -> bool:
        """Whether this limiter is isolated, as it receives nothing from any neighbour."""
        return self.membership.is_isolated(now)

    def member_state(self, name: str, now: float) -> MemberState:
        """Returns the state of a member as seen by this limiter."""
        return self.membership.state(name, now)

    def present_members(self, now: float) -> list[str]:
        """Returns the members that are not dead, sorted by name."""
        return self.membership.present_members(now)
