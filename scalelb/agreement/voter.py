"""A voter: what it has promised and accepted for the next version, which version it knows to be agreed, and
the permissions that it has given.

One decree for each version (Lamport, 1998; of a single register as in CASPaxos, Rystsov, 2018), of which only
the newest agreed one and the one after it are kept. What the voter says it has done is in its store first.

Permissions are the other half (Gray and Cheriton, 1989). A voter gives them for one version at a time, the
newest that it knows to be agreed, and goes on to the next only once all that it gave for older ones are
surely over or came back. It keeps the number of that version in its store and forgets the rest in a crash, by
rule: a new life waits for as long as any permission can be out before it goes on to a later version.

A voter whose store is gone does not vote: whoever answers for it may have promised what it can't know. It
asks the others, and once `needed` of them have told what they hold, so that each past majority has a member
among them, it holds no less than it may have promised; it then waits as after a crash.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Protocol

from scalelb.agreement.words import (
    NONE,
    Ballot,
    MalformedWordError,
    Times,
    Word,
    majority,
    policy,
    text,
    whole,
)

HOLDERS_MOST = 512  # permissions out at once


class Store(Protocol):
    """What lasts.  `save` returns once it is on the disk."""

    def load(self) -> dict[str, Any] | None:
        """What was saved last; None where there is nothing."""

    def save(self, state: dict[str, Any]) -> None:
        """Keep it, in one piece or not at all."""


@dataclass(slots=True)
class Given:
    """A permission that is out: until when it may be used, and the holder's ask that it answered."""

    until: float
    ask: int
    version: int


@dataclass
class State:
    """What a voter keeps in its store."""

    version: int = 0  # the newest that is known to be agreed
    value: str = ""
    promised: Ballot = NONE  # for the version after it
    accepted: Ballot = NONE
    proposed: str = ""  # what was accepted
    permitted: int = 0  # the version that permissions were given for last

    def words(self) -> dict[str, Any]:
        """For the store and for voters that have lost theirs."""
        return {
            "version": self.version, "value": self.value, "promised": list(self.promised),
            "accepted": list(self.accepted), "proposed": self.proposed, "permitted": self.permitted,
        }  # fmt: skip

    @classmethod
    def read(cls, told: Any) -> State:
        """Strictly."""
        if not isinstance(told, dict):
            raise MalformedWordError("state")
        return cls(
            whole(told.get("version")), policy(told.get("value")), Ballot.read(told.get("promised")),
            Ballot.read(told.get("accepted")), policy(told.get("proposed")), whole(told.get("permitted")),
        )  # fmt: skip


@dataclass
class Voter:
    """One voter.  `received` takes a word and returns the answer, which may go out at once: all that it says
    is in the store."""

    name: str
    voters: tuple[str, ...]
    store: Store
    times: Times
    now: float  # when this life began
    fresh: bool = False  # the register is being made: an empty store is no lost one
    state: State = field(default_factory=State)
    given: dict[str, Given] = field(default_factory=dict)  # by holder and life
    told: dict[str, State] = field(default_factory=dict)  # while its own is lost: what others hold

    def __post_init__(self) -> None:
        saved = self.store.load()
        self.lost = saved is None and not self.fresh
        if saved is not None:
            self.state = State.read(saved)
        elif self.fresh:
            self._save()
        # Guards against what a former life gave and this one has forgotten.
        self.free_at = self.now + self.times.given_ms

    @property
    def needed(self) -> int:
        """Others that have to tell before a voter without its store votes again."""
        return len(self.voters) - majority(len(self.voters)) + 1

    def received(self, word: Word, now: float) -> Word:
        """Answer one word.  Raises `MalformedWordError`, with nothing changed."""
        kind = word.get("k")
        if kind == "told":
            return self.recall(text(word.get("from")), State.read(word.get("state")))
        if self.lost:
            return {"k": "lost", "voter": self.name}
        if kind == "tell":
            return {"k": "told", "from": self.name, "state": self.state.words()}
        if kind == "prepare":
            ballot, before = Ballot.read(word.get("ballot")), policy(word.get("before"))
            return self._prepare(whole(word.get("version")), ballot, before)
        if kind == "accept":
            ballot = Ballot.read(word.get("ballot"))
            return self._accept(whole(word.get("version")), ballot, policy(word.get("value")))
        if kind == "agreed":
            return self._agreed(whole(word.get("version")), policy(word.get("value")))
        if kind == "ask":
            asked = text(word.get("holder")), text(word.get("life")), whole(word.get("ask"))
            return self._permit(*asked, whole(word.get("version")), now)
        if kind == "back":
            return self._back(text(word.get("holder")), text(word.get("life")), whole(word.get("ask")))
        raise MalformedWordError(f"kind {str(kind)[:20]!r}")

    # The register

    def _answer(self, kind: str, ballot: Ballot, **more: Any) -> Word:
        told = {"voter": self.name, "version": self.state.version, "value": self.state.value}
        return {"k": kind, "ballot": list(ballot), **told, **more}

    def _prepare(self, version: int, ballot: Ballot, before: str) -> Word:
        self._agreed(version - 1, before)  # whoever asks for a version knows the one before it
        state = self.state
        if version != state.version + 1 or ballot < state.promised:
            return self._answer("no", ballot, promised=list(state.promised))
        if ballot > state.promised:
            state.promised = ballot
            self._save()
        return self._answer("promise", ballot, accepted=list(state.accepted), proposed=state.proposed)

    def _accept(self, version: int, ballot: Ballot, value: str) -> Word:
        state = self.state
        if version != state.version + 1 or ballot < state.promised:
            return self._answer("no", ballot, promised=list(state.promised))
        state.promised = state.accepted = ballot
        state.proposed = value
        self._save()
        return self._answer("accepted", ballot)

    def _agreed(self, version: int, value: str) -> Word:
        """Told that a version is agreed.  One that is passed over is learnt with the newest."""
        state = self.state
        if version > state.version:
            state.version, state.value = version, value
            state.promised = state.accepted = NONE
            state.proposed = ""
            self._save()
        return self._answer("knows", NONE)

    # Permissions

    def _permit(self, holder: str, life: str, ask: int, version: int, now: float) -> Word:
        """A limiter asks for a permission for the newest version; it goes by `version` until now."""
        state = self.state
        # By life, not by name alone: a former life may stand still, and wake with what it was given.
        holder = f"{holder} {life}"
        mine = self.given.get(holder)
        if mine is not None and ask <= mine.ask:
            return self._answer("stale", NONE, ask=ask)
        if mine is not None and mine.version < state.version <= version:
            del self.given[holder]  # it goes by the newest: it has given the older one up
        out = [g.until for g in self.given.values() if g.version < state.version and g.until > now]
        if state.permitted < state.version:
            out.append(self.free_at)
        wait = max((until - now for until in out), default=0.0)
        if not state.version or wait > 0:
            return self._answer("wait", NONE, ask=ask, wait=round(max(1.0, wait)))
        if len(self.given) >= HOLDERS_MOST and holder not in self.given:
            self.sweep(now)
            if len(self.given) >= HOLDERS_MOST:
                return self._answer("wait", NONE, ask=ask, wait=round(self.times.given_ms))
        if state.permitted < state.version:
            state.permitted = state.version
            self._save()
        self.given[holder] = Given(now + self.times.given_ms, ask, state.version)
        return self._answer("permit", NONE, ask=ask)

    def _back(self, holder: str, life: str, ask: int) -> Word:
        """A permission comes back: its holder goes by it no more."""
        mine = self.given.get(f"{holder} {life}")
        if mine is not None and mine.ask <= ask:
            mine.until = float("-inf")
        return self._answer("knows", NONE)

    def sweep(self, now: float) -> None:
        """Guards the memory: what is over goes."""
        for holder in [holder for holder, given in self.given.items() if given.until <= now]:
            del self.given[holder]

    # A store that is gone

    def recall(self, name: str, state: State) -> Word:
        """Another voter tells what it holds, as this one's store is gone."""
        if self.lost and name in self.voters and name != self.name:
            self.told[name] = state
            if len(self.told) >= self.needed:
                self._take()
        return {"k": "lost" if self.lost else "knows", "voter": self.name}

    def _take(self) -> None:
        """No less than what may have been promised: the newest version, and the greatest ballots for the one
        after it."""
        newest = max(self.told.values(), key=lambda state: state.version)
        same = [state for state in self.told.values() if state.version == newest.version]
        best = max(same, key=lambda state: state.accepted)
        promised = max(state.promised for state in same)
        # Permitted 0: what it may have given for an older version has to be over first, whatever others gave.
        self.state = State(newest.version, newest.value, promised, best.accepted, best.proposed, 0)
        self._save()
        self.lost = False
        self.told.clear()

    def _save(self) -> None:
        self.store.save(self.state.words())
