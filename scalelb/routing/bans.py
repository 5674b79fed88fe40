"""Backends that staff has taken out by hand.  No I/O: the clock's reading is passed in.

A ban stands beside the list: while it holds, the decisions are told that the backend drains, whatever the
director says of it meanwhile.  Once it is called back it is taken to have just started, unless the list tells
of a start since the ban: whoever takes a backend out is about to restart it, and what comes back is cold.

Two processes that are one limiter each keep their own copy. An entry holds who was said what and when, and of
two copies the later word wins, so that copies may be joined in any order and more than once.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import NamedTuple

from scalelb.policy.endpoints import Endpoint, EndpointState

MOST = 1024  # entries; a further id is turned down
NAME_MOST = 256  # characters of an id


class Word(NamedTuple):
    """What was said last of one backend.  Words compare by time; at the same time, out wins."""

    at: float  # ms of the limiter's clock
    out: bool


class Bans:
    """The last word on each backend, and the list with the bans in it."""

    def __init__(self) -> None:
        self.words: dict[str, Word] = {}
        self.listed: dict[str, Endpoint] = {}  # as the director has it
        self.held: set[str] = set()  # backends that peers say are gone: they drain until the list tells

    def out(self, server: str) -> bool:
        """Whether it is out by hand."""
        word = self.words.get(server)
        return word is not None and word.out

    def told(self, servers: Iterable[Endpoint], full: bool) -> tuple[Endpoint, ...]:
        """The director's word; returns it with the bans in it."""
        infos = tuple(servers)
        if full:
            self.listed = {}
        for info in infos:
            if info.state is EndpointState.REMOVED:
                self.listed.pop(info.name, None)
            else:
                self.listed[info.name] = info
        return tuple(map(self.seen, infos)) if self.words or self.held else infos

    def seen(self, info: Endpoint) -> Endpoint:
        """An entry of the list as the decisions are to see it."""
        word = self.words.get(info.name)
        if info.name in self.held and info.state is EndpointState.SERVING:
            return replace(info, state=EndpointState.DRAINING)
        if word is None or info.state is EndpointState.REMOVED:
            return info
        if word.out:
            return replace(info, state=EndpointState.DRAINING)
        return replace(info, started_at=max(info.started_at, word.at))

    def say(self, server: str, out: bool, now: float) -> bool:
        """Staff's word.  False where the backend is not known, or too many are out."""
        if server not in self.listed and server not in self.words:
            return False
        old = self.words.get(server)
        if old is None:
            if not out:
                return True  # it may serve as it is: nothing to undo, and it is no colder for it
            if len(self.words) >= MOST and not self._drop():
                return False
        elif old.out == out:
            return True
        # Guards the order of words where two of them, or two processes' clocks, stand closer than a tick.
        self.words[server] = Word(max(now, old.at + 1.0) if old is not None else now, out)
        return True

    def join(self, words: Iterable[tuple[str, Word]]) -> list[str]:
        """Take in another copy; the backends whose word is new here."""
        news = []
        for server, word in words:
            old = self.words.get(server)
            if (old is None or word > old) and (old is not None or len(self.words) < MOST or self._drop()):
                self.words[server] = word
                news.append(server)
        return news

    def entries(self, servers: Iterable[str]) -> tuple[Endpoint, ...]:
        """The list's entries of some backends as they are to be seen now, as a change of the list."""
        return tuple(self.seen(self.listed[server]) for server in servers if server in self.listed)

    def _drop(self) -> bool:
        """Guards the memory: the oldest word goes that bans nobody, or nobody that is listed."""
        spare = [name for name, word in self.words.items() if not word.out or name not in self.listed]
        if not spare:
            return False
        del self.words[min(spare, key=lambda name: self.words[name].at)]
        return True
