"""One limiter's replica among its peers.  No I/O: links are names, frames are values, and time is passed in
(ms of a monotonic clock; it is never compared with another limiter's).

What a limiter writes itself does not wait for a digest: `push` sends it over the first two of its links at
once, so that two others hold it should the process die in the next moment.

An incarnation settles before it writes anything: once it holds all that each settled peer it meets held when
they met, or once it has been alone for `settle_alone_after_ms`. An earlier incarnation of the same name that
wakes sees the newer one's log and stands down. The logs of earlier incarnations stay until this one says that
it has taken account of all that is in them (`close_earlier_incarnations`); then the others drop them, for
good.
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

HEARTBEAT_KEY = "!beat"  # the writer's own entry that a refutation renews
MAX_LOGS_PER_MEMBER = 16
EXTRA_LOGS = 64


class Replicator:
    """One incarnation of one limiter.  `on_settled`, `on_closed` and `on_entry` call its owner back."""

    def __init__(
        self, settings: ReplicationSettings, nonce: int, now: float, log: Callable[..., None]
    ) -> None:
        """`nonce`: drawn anew for each incarnation.  Raises ValueError if the name is not one of the
        members."""
        self.settings = settings
        self.nonce = nonce % MAX_NONCE
        self.log = log
        self.topology = Topology(settings.name, settings.members)
        self.replica = Replica(MAX_LOGS_PER_MEMBER * len(self.topology.members) + EXTRA_LOGS)
        self.gossip = Gossip(self.replica, settings)
        self.links = self.gossip.links
        self.membership = Membership(settings, self.topology, self.replica, self.links, now)
        self.settling = Settling(settings, self.topology, self.replica, self.links, now)
        self.incarnation = Incarnation(settings.name, 0, self.nonce)  # number 0: not settled yet
        self.is_settled = False
        self.unsettled_writes: dict[str, Any] = {}  # by key: the last of each before it has settled
        self.is_closed = False  # a newer incarnation of this name is at work
        self.rejected_frames = 0  # those that could not be read
        self.on_settled: Callable[[], None] = lambda: None
        self.on_closed: Callable[[], None] = lambda: None
        self.on_entry: Callable[[Incarnation, str, Any], None] = lambda incarnation, key, value: None

    # Links

    def links_to_dial(self, choose: Callable[[list[str]], str]) -> list[str]:
        """Members to dial now; `choose` draws one of several."""
        return self.topology.members_to_dial(self.links, choose)

    def link_up(self, name: str, now: float) -> None:
        """A link is up."""
        self.links[name] = Link(name, now)
        self.membership.link_lost_at.pop(name, None)

    def link_down(self, name: str, now: float) -> None:
        """A link has ended."""
        if self.links.pop(name, None) is not None:
            self.membership.link_lost_at.setdefault(name, now)

    # Own writes

    def write(self, key: str, value: Any, now: float) -> None:
        """The next write of this incarnation; the value None deletes the entry.  Nothing is written once it
        is closed, or beyond `MAX_ENTRIES`; what comes before it has settled is written then."""
        if self.is_closed:
            return
        if not self.is_settled:
            self._keep_until_settled(key, value)
            return
        own = self.replica.log_of(self.incarnation)
        if own is None:
            return
        if value is not None and len(own.entries) >= MAX_ENTRIES and key not in own.entries:
            return
        own.write(key, value, now)

    def _keep_until_settled(self, key: str, value: Any) -> None:
        if value is None:
            self.unsettled_writes.pop(key, None)
        elif len(self.unsettled_writes) < MAX_ENTRIES or key in self.unsettled_writes:
            self.unsettled_writes[key] = value

    def own_log(self) -> ReplicatedLog:
        """This incarnation's log; an empty one where it has written nothing."""
        return self.replica.logs.get(self.incarnation) or ReplicatedLog()

    def earlier_incarnations(self) -> list[Incarnation]:
        """Incarnations of this name before this one, the newest last."""
        incarnations = self.replica.incarnations(self.settings.name)
        return [incarnation for incarnation in incarnations if incarnation < self.incarnation]

    def close_earlier_incarnations(self, now: float) -> None:
        """All that was in the earlier incarnations' logs is taken account of: they are dropped everywhere."""
        if self.earlier_incarnations():
            self.write(CLOSED_KEY, self.incarnation.number, now)
            self._drop_closed_logs(self.settings.name)

    # Time

    def tick(self, now: float, is_ready: Callable[[str], bool]) -> list[OutgoingFrame]:
        """The frames to send now; none to a peer that is not ready, as it is told what is newest once it
        is."""
        if not self.is_settled:
            self._try_to_settle(now)
        else:
            self._report_silent_neighbours(now)
            self.own_log().drop_old_tombstones(now)
        frames: list[OutgoingFrame] = []
        for link in self.gossip.links_due(now, is_ready):
            frames += self._digest_frames(link, now, wants_digest=True)
        return frames

    def push(self, is_ready: Callable[[str], bool]) -> list[OutgoingFrame]:
        """Own writes, to the first links that take them."""
        if not self.is_settled or self.is_closed:
            return []
        links = [link for link in self.links.values() if link.has_complete_digest]
        links = [link for link in links if is_ready(link.name)][: self.settings.push_targets]
        own = {self.incarnation: self.own_log()}
        return [frame for link in links for frame in self.gossip.delta_frames(link, own)]

    def _digest_frames(self, link: Link, now: float, *, wants_digest: bool) -> list[OutgoingFrame]:
        return self.gossip.digest_frames(link, now, is_settled=self.is_settled, wants_digest=wants_digest)

    def _report_silent_neighbours(self, now: float) -> None:
        membership = self.membership
        silent = membership.silent_neighbours(now)
        own_entries = self.own_log().entries
        for name in self.topology.neighbours:
            key = DOWN_KEY_PREFIX + name
            entry = own_entries.get(key)
            report = membership.report_on(name, name in silent)
            if (entry.value if entry is not None else None) != report:
                self.write(key, report, now)
        is_reported = any(True for _ in membership.reporters(self.settings.name, self.incarnation))
        heartbeat = own_entries.get(HEARTBEAT_KEY)
        is_due = heartbeat is None or now - heartbeat.value >= self.settings.heartbeat_ms
        if is_reported and is_due:
            self.write(HEARTBEAT_KEY, now, now)  # refutes the reports: the log goes on

    # Frames

    def receive(self, name: str, message: Any, now: float) -> list[OutgoingFrame]:
        """Take a peer's frame; returns the frames to send.  Raises `MalformedFrameError`, with nothing
        taken."""
        link = self.links.get(name)
        if link is None:
            return []
        if not isinstance(message, dict):
            raise MalformedFrameError("not an object")
        link.last_heard_at = now
        frame = decode_frame(message, self.topology.members)
        if isinstance(frame, Digest):
            return self._take_digest(link, frame, now)
        return self._take_delta(link, frame, now)

    def _take_digest(self, link: Link, digest: Digest, now: float) -> list[OutgoingFrame]:
        link.take_digest(digest, self.replica.max_logs)
        states = dict(digest.states)
        if self.settings.name in {incarnation.name for incarnation in states}:
            self._renew_if_forged(states.get(self.incarnation), now)
        frames = self.gossip.delta_frames(link)
        if digest.wants_digest:
            is_half_due = now - link.last_digest_at >= self.settings.heartbeat_ms / 2
            if self.gossip.has_news_for(link) or is_half_due:
                frames += self._digest_frames(link, now, wants_digest=False)
        return frames

    def _take_delta(self, link: Link, delta: Delta, now: float) -> list[OutgoingFrame]:
        for log_delta in delta.logs:
            self._merge(link, log_delta, now)
        count = sum(len(log_delta.entries) for log_delta in delta.logs)
        link.count_entries(count, now)
        # After a full delta there is more: without this a copy that is far behind waits for its next turn.
        if count > FULL_DELTA_ENTRIES and not link.is_paced:
            return self._digest_frames(link, now, wants_digest=True)
        return []

    def _merge(self, link: Link, delta: LogDelta, now: float) -> None:
        incarnation = delta.incarnation
        if incarnation == self.incarnation or self.replica.is_closed(incarnation):
            return
        log = self.replica.log_of(incarnation)
        if log is None:
            return
        if delta.is_full_copy and log.floor < delta.floor:
            self._delete_live_entries(incarnation, log)
            log.begin_full_copy(delta.floor)
        version_before = log.version
        merged = log.merge(delta.after, delta.up_to, delta.floor, delta.entries, now)
        if merged is None:  # a gap: the peer is told what is held here, and sends again
            link.announced.pop(incarnation, None)
            return
        known = link.assumed_states.get(incarnation, EMPTY_LOG_STATE)
        # It need not be sent back, nor told of.
        link.assumed_states[incarnation] = LogState(
            max(known.version, delta.up_to), max(known.floor, delta.floor)
        )
        if log.version == delta.up_to:
            link.announced[incarnation] = log.state
        if log.version > version_before:
            self.settling.last_copied_at = now
            self.membership.log_advanced_at[incarnation.name] = now
        for key, value in merged:
            self._take_entry(incarnation, key, value)
        if len(log.entries) > MAX_ENTRIES:  # bounds the memory: a writer may send entries without end
            self.log("peers", level="warning", what="a chain is too long", life=list(incarnation))
            self.replica.drop(incarnation)

    def _take_entry(self, incarnation: Incarnation, key: str, value: Any) -> None:
        is_newer_self = incarnation.name == self.incarnation.name and incarnation > self.incarnation
        if self.is_settled and is_newer_self:
            self._stand_down(incarnation)
        if key == CLOSED_KEY:
            self._drop_closed_logs(incarnation.name)
        else:
            self.on_entry(incarnation, key, value)

    # Incarnations of one name

    def _drop_closed_logs(self, name: str) -> None:
        """Bounds the memory: what a newer incarnation has taken account of goes, for good."""
        for incarnation in self._closed_incarnations(name):
            self._delete_live_entries(incarnation, self.replica.logs[incarnation])
            self.replica.drop(incarnation)

    def _closed_incarnations(self, name: str) -> list[Incarnation]:
        return [known for known in self.replica.incarnations(name) if self.replica.is_closed(known)]

    def _delete_live_entries(self, incarnation: Incarnation, log: ReplicatedLog) -> None:
        for key, _ in list(log.live_entries()):
            self.on_entry(incarnation, key, None)

    def _renew_if_forged(self, state: LogState | None, now: float) -> None:
        """No other may write this incarnation's log.  A peer that holds more of it than was written has that
        from a forger, and a new incarnation, which nobody else has heard of, closes it."""
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

    def _stand_down(self, newer: Incarnation) -> None:
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

    # Who is there

    def is_isolated(self, now: float) -> bool:
        """Whether this limiter hears nobody: it is cut off."""
        return self.membership.is_isolated(now)

    def member_state(self, name: str, now: float) -> MemberState:
        """A member as it is seen from here."""
        return self.membership.state(name, now)

    def present_members(self, now: float) -> list[str]:
        """Members that are not dead, in the order of their names."""
        return self.membership.present_members(now)
