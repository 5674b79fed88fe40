"""Who is there, and how chains travel.  No I/O: links are names, messages are values, time is passed in (ms
of a monotonic clock; it is never compared with another limiter's).

Each limiter keeps links to the members that stand 1, 2, 4, 8 ... places further in the sorted list of names,
and has those of the members as far behind it: about 2 log2 N of them. Over each link it says now and then
what it has (`have`: what has changed since it last said so), and whoever sees that the other lacks something
sends it (`news`), a bounded number of bytes at a time and always what is newest: nothing waits in line for
a slow peer, so nothing can grow. Twice in a second each link is used at least, so that silence tells.

What a limiter writes itself it does not leave to chance: `push` sends it to the first two of its links at
once, so that two others hold it should it die in the next moment.

Who sees a link silent says so in its own chain (`down:NAME`); one voice makes a member suspect, two make it
gone, and a member that is told so refutes it by writing on. Whoever hears nothing on any link suspects itself
and says nothing of the others.

A life settles before it counts for anything: once it holds all that each settled peer it meets had when
they met, or once it has been alone for `alone_ms`. A former life of the same name that wakes sees the newer
one's chain and stands down. Former chains stay until this life says that it has taken account of all that
was in them (`close`); then the others drop them, for good.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum
from math import isfinite
from typing import Any

from scalelb.peers.chain import ENTRIES_MOST, KEY_MOST, VERSION_MOST, Chain, Entry, Life, Replica

FORM = 1  # of the messages
BUDGET = 32 * 1024  # bytes of entries in one message, about
MEAN_BYTES = 100  # of an entry, about
LIVES_MOST = 400  # told in one `have`
VALUE_MOST = 1024  # bytes of a value, about
NUMBER_MOST, NONCE_MOST = 2**31, 2**31
CLOSED, DOWN, BEAT = "!closed", "down:", "!beat"  # the mesh's own entries
LIVES_EACH = 16  # chains kept, for each member
PACE = 1_500_000  # bytes of entries, about, that a copy takes from one link in a second
EXTRA = 2  # further links where most of its own are down


class MalformedMessageError(ValueError):
    """A message that can't be; nothing of it was taken."""


class State(Enum):
    """A member as this limiter sees it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class MeshSettings:
    """Names and times; `deploy/peers.toml` has the keys."""

    name: str
    members: tuple[str, ...]  # all of them, this one too
    tick_ms: float = 100.0
    beat_ms: float = 500.0  # a link is used at least so often
    suspect_ms: float = 1500.0  # silence that is told of
    alone_ms: float = 2000.0  # that a life without a settled peer waits before it settles
    meet_ms: float = 300.0  # that it waits for further links once it has one
    push_ms: float = 50.0  # between two pushes of its own writes
    links: int = 1  # that are told of news in one tick
    holders: int = 2  # that own writes are pushed to


@dataclass(slots=True)
class Link:
    """What is known of the peer at the other end."""

    name: str
    since: float
    heard: float
    said: float = -1e18  # when it was last told what is here
    told: dict[Life, tuple[int, int]] = field(default_factory=dict)  # what it was told of: version, floor
    theirs: dict[Life, tuple[int, int]] = field(default_factory=dict)  # what it has
    settled: bool = False  # the peer is
    goal: dict[Life, int] | None = None  # what it had when it first told, as a settled one
    more: bool = False  # its first telling goes on
    second: float = 0.0  # since when `taken` counts
    taken: int = 0  # bytes of entries that came, about


class Mesh:
    """One limiter among its peers."""

    def __init__(self, settings: MeshSettings, nonce: int, now: float, log: Callable[..., None]) -> None:
        if settings.name not in settings.members:
            raise ValueError(f"name: {settings.name!r} is not one of the members")
        self.settings, self.nonce, self.log = settings, nonce % NONCE_MOST, log
        self.members = sorted(set(settings.members))
        self.replica = Replica(LIVES_EACH * len(self.members) + 64)
        self.life = Life(settings.name, 0, self.nonce)  # number 0: not settled yet
        self.settled = self.closed = False
        self.began = self.copied = now  # when entries last came, before it has settled
        self.links: dict[str, Link] = {}
        self.lost_at: dict[str, float] = {}  # when a link to a member that should have one was last up
        self.advanced: dict[str, float] = {}  # when a member's chain last went on
        self.turn = 0
        self._partners = {name: self._dialled_by(name) for name in self.members}
        mine = set(self._partners[settings.name])
        self._neighbours = sorted(mine | {n for n, some in self._partners.items() if settings.name in some})
        self.dropped = 0  # messages that could not be read
        self.on_settled: Callable[[], None] = lambda: None
        self.on_closed: Callable[[], None] = lambda: None
        self.on_entry: Callable[[Life, str, Any], None] = lambda life, key, value: None

    # Who should be linked

    def partners(self, name: str | None = None) -> list[str]:
        """The members that a limiter dials; the others of its links dial it."""
        return self._partners[name or self.settings.name]

    def _dialled_by(self, name: str) -> list[str]:
        place, count = self.members.index(name), len(self.members)
        steps = [1 << bit for bit in range(count.bit_length()) if 1 << bit < count]
        others = [self.members[(place + step) % count] for step in steps]
        return [other for other in others if self._dials(name, other)]

    def _dials(self, name: str, other: str) -> bool:
        """Guards against two links of one pair: where each would dial the other, the first name does."""
        count = len(self.members)
        ahead = (self.members.index(other) - self.members.index(name)) % count
        mutual = ahead & (ahead - 1) == 0 and (count - ahead) & (count - ahead - 1) == 0
        return not mutual or name < other

    def neighbours(self) -> list[str]:
        """All that a link is due with."""
        return self._neighbours

    def wanted(self, choose: Callable[[list[str]], str]) -> list[str]:
        """Whom to dial now: the partners without a link, and where most neighbours are down, others too."""
        due = [name for name in self.partners() if name not in self.links]
        neighbours = self.neighbours()
        up = sum(name in self.links for name in neighbours)
        if 2 * up < len(neighbours):
            rest = [n for n in self.members if n not in neighbours and n not in self.links]
            rest = [n for n in rest if n != self.settings.name]
            for _ in range(min(EXTRA, len(rest))):
                due.append(choose(rest))
                rest.remove(due[-1])
        return due

    # Links

    def joined(self, name: str, now: float) -> None:
        """A link is up."""
        self.links[name] = Link(name, now, now)
        self.lost_at.pop(name, None)

    def left(self, name: str, now: float) -> None:
        """A link has ended."""
        if self.links.pop(name, None) is not None:
            self.lost_at.setdefault(name, now)

    # What this limiter writes

    def write(self, key: str, value: Any, now: float) -> None:
        """The next write of this life; nothing before it has settled, or once it is closed."""
        if self.settled and not self.closed and (own := self.replica.chain(self.life)) is not None:
            if value is not None and len(own.entries) >= ENTRIES_MOST and key not in own.entries:
                return
            own.write(key, value, now)

    def own(self) -> Chain:
        """This life's chain."""
        return self.replica.chains.get(self.life) or Chain()

    def former(self) -> list[Life]:
        """Lives of this name before this one."""
        return [life for life in self.replica.lives(self.settings.name) if life < self.life]

    # Time

    def tick(self, now: float, ready: Callable[[str], bool]) -> list[tuple[str, Any]]:
        """What to say now; nothing to a peer that is not `ready`, as what is newest is told once it is."""
        out: list[tuple[str, Any]] = []
        if not self.settled:
            self._try_to_settle(now)
        else:
            self._watch(now)
            self.own().sweep(now)
        names = [name for name in self.links if ready(name)]
        due = [n for n in names if now - self.links[n].said >= self.settings.beat_ms]
        for _ in range(min(self.settings.links, len(names))):
            self.turn += 1
            due.append(names[self.turn % len(names)])
        for name in dict.fromkeys(due):
            link = self.links[name]
            if now - link.said >= self.settings.beat_ms or self._news_for(link):
                out += self._have(link, now, ask=True)
        return out

    def push(self, ready: Callable[[str], bool]) -> list[tuple[str, Any]]:
        """Own writes to the first links that take them."""
        if not self.settled or self.closed:
            return []
        some = [link for link in self.links.values() if link.goal is not None and not link.more]
        some = [link for link in some if ready(link.name)][: self.settings.holders]
        return [out for link in some for out in self._news(link, {self.life: self.own()})]

    def _news_for(self, link: Link) -> bool:
        chains = self.replica.chains
        return any(link.told.get(life, (0, 0))[0] < chain.version for life, chain in chains.items())

    def _have(self, link: Link, now: float, ask: bool) -> list[tuple[str, Any]]:
        """What has changed since the peer was last told; in parts where it is much."""
        changed = []
        for life, chain in self.replica.chains.items():
            state = chain.version, chain.floor
            if link.told.get(life) != state:
                changed.append((life, state))
        out = []
        parts = range(0, max(1, len(changed)), LIVES_MOST)
        for at in parts:
            part = changed[at : at + LIVES_MOST]
            link.told.update(part)
            told = [[*life, *state] for life, state in part]
            more = at != parts[-1]
            message = {"k": "have", "v": told, "s": self.settled, "m": more, "a": ask and not more}
            out.append((link.name, message))
        for life in [life for life in link.told if life not in self.replica.chains]:
            del link.told[life]
        link.said = now
        return out

    def _news(self, link: Link, chains: dict[Life, Chain] | None = None) -> list[tuple[str, Any]]:
        """What the peer lacks, as much as one message takes; of each chain in the order of its writes."""
        left, told = BUDGET, list[Any]()
        for life, chain in (chains or self.replica.chains).items():
            version, floor = link.theirs.get(life, (0, 0))
            if version >= chain.version:
                continue
            full = version < chain.floor and floor < chain.floor
            begins = 0 if full else version
            entries, upto = list[list[Any]](), chain.version
            for key, entry in chain.since(begins):
                if left <= 0:
                    upto = entries[-1][1] if entries else begins
                    break
                entries.append([key, entry.version, entry.value])
                left -= 24 + len(key) + _size(entry.value)
            if entries or upto > begins:
                told.append([*life, begins, upto, chain.floor, full, entries])
                link.theirs[life] = upto, max(floor, chain.floor if full else floor)
            if left <= 0:
                break
        return [(link.name, {"k": "news", "c": told})] if told else []

    # What comes

    def received(self, name: str, message: Any, now: float) -> list[tuple[str, Any]]:
        """Take a peer's message; returns the answers.  Raises `MalformedMessageError`."""
        if (link := self.links.get(name)) is None:
            return []
        if not isinstance(message, dict):
            raise MalformedMessageError("not an object")
        kind = message.get("k")
        link.heard = now
        if kind == "have":
            return self._heard_have(link, message, now)
        if kind == "news":
            return self._heard_news(link, message, now)
        raise MalformedMessageError(f"kind {str(kind)[:20]!r}")

    def _heard_have(self, link: Link, message: dict[str, Any], now: float) -> list[tuple[str, Any]]:
        told = message.get("v")
        if not isinstance(told, list) or len(told) > LIVES_MOST:
            raise MalformedMessageError("have: v")
        lives = []
        for item in told:
            if not isinstance(item, list) or len(item) != 5:
                raise MalformedMessageError("have: an item")
            lives.append((self._life(item), (_whole(item[3]), _whole(item[4]))))
        flags = [message.get(name) for name in "sma"]
        if not all(isinstance(flag, bool) for flag in flags):
            raise MalformedMessageError("have: flags")
        settled, more, ask = flags
        link.theirs.update(lives)
        if len(link.theirs) > self.replica.lives_most:  # guards the memory: it will tell again
            link.theirs.clear()
        link.settled = bool(settled)
        if link.goal is None or link.more:
            link.goal = (link.goal or {}) | {life: state[0] for life, state in lives}
            link.more = bool(more)
        if self.life.name in {life.name for life, _ in lives}:
            self._look_for_self(dict(lives), now)
        out = self._news(link)
        if ask and (self._news_for(link) or now - link.said >= self.settings.beat_ms / 2):
            out += self._have(link, now, ask=False)
        return out

    def _heard_news(self, link: Link, message: dict[str, Any], now: float) -> list[tuple[str, Any]]:
        told = message.get("c")
        if not isinstance(told, list) or len(told) > LIVES_MOST:
            raise MalformedMessageError("news: c")
        taken = [self._read_chain(item) for item in told]  # all of it is read before any of it counts
        for life, begins, upto, floor, full, entries in taken:
            if life == self.life or self._is_closed(life):
                continue
            if (chain := self.replica.chain(life)) is None:
                continue
            if full and chain.floor < floor:
                for key, _ in list(chain.live()):
                    self.on_entry(life, key, None)
                chain.begin_copy(floor)
            before = chain.version
            news = chain.join(begins, upto, floor, entries, now)
            if news is None:  # a gap: the peer is told what is here, and comes again
                link.told.pop(life, None)
                continue
            version, known = link.theirs.get(life, (0, 0))
            link.theirs[life] = max(version, upto), max(known, floor)  # it need not be sent back
            if chain.version == upto:
                link.told[life] = chain.version, chain.floor  # nor be told of
            if chain.version > before:
                self.copied = now
                self.advanced[life.name] = now
            for key, value in news:
                self._entered(life, key, value)
            if len(chain.entries) > ENTRIES_MOST:  # guards the memory against a writer without bound
                self.log("peers", level="warning", what="a chain is too long", life=list(life))
                self.replica.forget(life)
        # There is more where a message was full: a copy that is far behind need not wait for its turn.
        count = sum(len(entries) for *_, entries in taken)
        if now - link.second >= 1000.0:
            link.second, link.taken = now, 0
        link.taken += count * MEAN_BYTES
        # Guards live traffic, and the link, on which a peer that sends more than it may is hung up on: the
        # rest comes with the next second.
        full = count > BUDGET // MEAN_BYTES // 2 and link.taken < PACE
        return self._have(link, now, ask=True) if full else []

    def _entered(self, life: Life, key: str, value: Any) -> None:
        if self.settled and life.name == self.life.name and life > self.life:
            self._stand_down(life)
        if key == CLOSED:
            self._drop_closed(life.name)
        else:
            self.on_entry(life, key, value)

    def _read_chain(self, item: Any) -> tuple[Life, int, int, int, bool, list[tuple[str, Entry]]]:
        if not isinstance(item, list) or len(item) != 8 or not isinstance(item[7], list):
            raise MalformedMessageError("news: an item")
        life, begins, upto, floor = self._life(item), *map(_whole, item[3:6])
        if not isinstance(item[6], bool) or upto < begins or len(item[7]) > BUDGET:
            raise MalformedMessageError("news: bounds")
        entries, last = [], begins
        for entry in item[7]:
            if not isinstance(entry, list) or len(entry) != 3 or not isinstance(entry[0], str):
                raise MalformedMessageError("news: an entry")
            version = _whole(entry[1])
            named = 0 < len(entry[0]) <= KEY_MOST
            if not last < version <= upto or not named or _size(entry[2]) > VALUE_MOST:
                raise MalformedMessageError("news: an entry's bounds")
            last = version
            entries.append((entry[0], Entry(version, entry[2])))
        return life, begins, upto, floor, item[6], entries

    def _life(self, item: list[Any]) -> Life:
        name, number, nonce = item[:3]
        if name not in self.members:
            raise MalformedMessageError("a life of nobody on the list")
        if not 0 < _whole(number) <= NUMBER_MOST or _whole(nonce) >= NONCE_MOST:
            raise MalformedMessageError("a life out of range")
        return Life(name, number, nonce)

    # Lives of one name

    def _is_closed(self, life: Life) -> bool:
        for other in reversed(self.replica.lives(life.name)):
            if other <= life:
                return False
            if CLOSED in self.replica.chains[other].entries:
                return True
        return False

    def _drop_closed(self, name: str) -> None:
        """Guards the memory: what a newer life has taken account of goes, for good."""
        for life in [life for life in self.replica.lives(name) if self._is_closed(life)]:
            for key, _ in list(self.replica.chains[life].live()):
                self.on_entry(life, key, None)
            self.replica.forget(life)

    def _look_for_self(self, told: dict[Life, tuple[int, int]], now: float) -> None:
        """Guards this life's chain: no other writes it.  Whoever has more of it than was written has it from
        a stranger, and a new life, which nobody else has heard of, closes it."""
        mine = told.get(self.life)
        if self.settled and not self.closed and mine is not None and mine[0] > self.own().version:
            self.log("peers", level="warning", what="another writes in this name", version=mine[0])
            entries = dict(self.own().live())
            self.replica.forget(self.life)
            self.life = Life(self.life.name, self.life.number + 1, self.nonce)
            for key, value in entries.items():
                self.write(key, value, now)
            self.write(CLOSED, self.life.number, now)

    def _stand_down(self, newer: Life) -> None:
        if not self.closed:
            self.closed = True
            self.log("peers", level="warning", what="a newer life of this name has closed this one", by=newer)
            self.on_closed()

    def _try_to_settle(self, now: float) -> None:
        """All that one settled peer had when they met is here; or nobody is there who has settled."""
        met = [link for link in self.links.values() if link.goal is not None and link.settled]
        # A link that broke in the middle of a copy comes back; no peer can hold this life up for good.
        alone = (now - self.copied > self.settings.alone_ms and not met) or (
            now - self.began > 10 * self.settings.alone_ms
        )
        waits = len(self.links) < len(self.neighbours()) and now - self.began < self.settings.meet_ms
        if not alone and (waits or not met or not all(map(self._caught_up, met))):
            return
        newest = self.replica.newest(self.settings.name)
        self.life = Life(self.settings.name, (newest.number if newest else 0) + 1, self.nonce)
        self.settled = True
        self.log("settled", life=self.life.number, alone=alone, took_ms=round(now - self.began))
        self.write(BEAT, now, now)
        self.on_settled()

    def close(self, now: float) -> None:
        """All that was in the former lives' chains is taken account of: they go everywhere."""
        if self.former():
            self.write(CLOSED, self.life.number, now)
            self._drop_closed(self.settings.name)

    def _caught_up(self, link: Link) -> bool:
        if not link.settled or link.goal is None or link.more:
            return False
        chains = self.replica.chains
        return all(
            not version or self._is_closed(life) or (life in chains and chains[life].version >= version)
            for life, version in link.goal.items()
        )

    # Who is there

    def _watch(self, now: float) -> None:
        """Say of which neighbours nothing is heard, unless it is all of them: then it is this one."""
        neighbours = self.neighbours()
        silent = {name for name in neighbours if self._silent(name, now)}
        if len(silent) == len(neighbours) > 1:
            silent = set()
        own = self.own().entries
        for name in neighbours:
            key, life = DOWN + name, self.replica.newest(name)
            said = own.get(key)
            claim = [life.number, life.nonce] if name in silent and life is not None else None
            if (said.value if said is not None else None) != claim:
                self.write(key, claim, now)
        accused = any(True for _ in self._claims(self.settings.name, self.life))
        beat = own.get(BEAT)
        if accused and (beat is None or now - beat.value >= self.settings.beat_ms):
            self.write(BEAT, now, now)  # refutes it: the chain goes on

    def _silent(self, name: str, now: float) -> bool:
        link = self.links.get(name)
        heard = link.heard if link is not None else self.lost_at.get(name, self.began)
        return now - heard > self.settings.suspect_ms

    def _claims(self, name: str, life: Life | None) -> Iterator[str]:
        """Who says that nothing is heard of a member's life."""
        if life is None:
            return
        for other, chain in self.replica.chains.items():
            said = chain.entries.get(DOWN + name)
            claimed = said is not None and said.value == [life.number, life.nonce]
            if claimed and other.name != name and self.replica.newest(other.name) == other:
                yield other.name

    def alone(self, now: float) -> bool:
        """Whether nothing is heard on any link: this limiter, rather than all others, is cut off."""
        return len(self.members) > 1 and all(self._silent(name, now) for name in self.neighbours())

    def state(self, name: str, now: float) -> State:
        """A member as it is seen from here."""
        if name == self.settings.name:
            return State.SUSPECT if self.alone(now) else State.ALIVE
        voices = set(self._claims(name, self.replica.newest(name)))
        if not voices:
            return State.ALIVE if self.replica.newest(name) is not None else State.GONE
        needed = min(2, len(self.members) - 1)
        going_on = now - self.advanced.get(name, -1e18) <= 2 * self.settings.suspect_ms
        return State.GONE if len(voices) >= needed and not going_on else State.SUSPECT

    def alive(self, now: float) -> list[str]:
        """Members that are not gone."""
        return [name for name in self.members if self.state(name, now) is not State.GONE]


def _whole(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= VERSION_MOST:
        raise MalformedMessageError("not a whole number in range")
    return value


def _size(value: Any) -> int:
    """About how many bytes a value takes; strict on what a value may be."""
    if isinstance(value, float) and not isfinite(value):
        raise MalformedMessageError("not a number")
    if value is None or isinstance(value, bool | int | float):
        return 8
    if isinstance(value, str):
        return 2 + len(value)
    if isinstance(value, list):
        return 2 + sum(map(_size, value))
    raise MalformedMessageError("a value of no kind")
