"""A limiter that goes by the agreed version, and by none without a permission.

A permission counts from when it was asked for, on the limiter's own clock, and is looked at when it is used:
a process that stood still wakes in the middle of its own code, before the timer that would have told it. It
takes a majority of voters, each of which has given one for this version that still runs.
"""

from __future__ import annotations

from scalelb.agreement.words import Times, Word, majority, policy, text, whole

KEPT = 8  # asks that answers are taken for


class Learner:
    """One limiter's life; `life` must differ from every other's."""

    def __init__(self, name: str, life: str, voters: tuple[str, ...], times: Times) -> None:
        self.name, self.life, self.voters, self.times = name, life, voters, times
        self.version, self.value = 0, ""  # what it goes by, while permitted
        self.next, self.next_value = 0, ""  # the newest that it was told of
        self.until: dict[str, float] = {}  # by voter: how long its permission for `version` runs
        self.coming: dict[str, float] = {}  # the same for `next`
        self.asks: dict[int, float] = {}  # when each was made
        self.ask_number = 0

    def permitted(self, now: float) -> int:
        """The version that it may decide by now; 0: by none."""
        if self._count(self.coming, now) >= majority(len(self.voters)) and self.next > self.version:
            self._move()
        return self.version if self._count(self.until, now) >= majority(len(self.voters)) else 0

    def ask(self, now: float) -> Word:
        """Ask all voters for a permission."""
        self.ask_number += 1
        self.asks[self.ask_number] = now
        while len(self.asks) > KEPT:
            del self.asks[next(iter(self.asks))]
        told = {"holder": self.name, "life": self.life, "ask": self.ask_number}
        return {"k": "ask", **told, "version": max(self.version, self.next if not self.until else 0)}

    def received(self, word: Word, now: float) -> Word | None:
        """A voter's answer; returns what is to be told to all voters now, if anything.  Raises
        `MalformedWordError`."""
        voter, kind = text(word.get("voter")), word.get("k")
        if voter not in self.voters or kind == "lost":
            return None
        version, value = whole(word.get("version")), policy(word.get("value"))
        back = None
        if version > max(self.next, self.version):
            self.next, self.next_value, self.coming = version, value, {}
            if self.until:  # the older one is given back at once: nobody has to wait for its end
                self.until = {}
                told = {"holder": self.name, "life": self.life, "ask": self.ask_number}
                back = {"k": "back", **told}
        if kind == "permit" and (asked := self.asks.get(whole(word.get("ask")))) is not None:
            run = asked + self.times.held_ms
            if version == self.next > self.version:
                self.coming[voter] = max(run, self.coming.get(voter, run))
            elif version == self.version == max(self.version, self.next):  # never one that was given back
                self.until[voter] = max(run, self.until.get(voter, run))
        if self._count(self.coming, now) >= majority(len(self.voters)) and self.next > self.version:
            self._move()
        return back

    def _count(self, some: dict[str, float], now: float) -> int:
        return sum(until > now for until in some.values())

    def _move(self) -> None:
        self.version, self.value = self.next, self.next_value
        self.until, self.coming = self.coming, {}
