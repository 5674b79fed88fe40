"""The rules of the soak, checked over its history by code that shares nothing with the limiter.

Events beside those of `checkers`:

    ask      ident, limiter, life         a command's last byte was written
    lost     ident, limiter, life         its connection ended without an answer
    left     ident                        its client ended the connection
    signal   limiter, life, name          a signal was sent
    exit     limiter, life, status        a process ended; status -9: killed
    ready    limiter, life, took_ms       from its start
    stopped  limiter, life, open, attempts, gone     a process's own count at its end
    garbled  bytes                        bytes that are no answer
    fault    limiter, life, text          a line of the log

`seen` is when the stage saw it, in ms.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from scalelb.lab.checkers import no_attempt_after_answer, no_concurrent_attempts, own_value

Event = dict[str, Any]
LINGER_MS = 700.0  # after SIGTERM, that what comes may be open at the kill
READ_MS = 50.0  # in which the end of a connection is seen; nobody sends a request again so soon
READY_MS = 10_000.0  # that a start may take
KILLED = -9
TERMINATED = -15  # by a signal that came before the program could take it

Life = tuple[str, int]


class Soak:
    """One run's history, by what the rules ask for."""

    def __init__(self, history: list[Event]) -> None:
        self.history = history
        self.answers = Counter(e["ident"] for e in history if e["what"] == "answer")
        self.left = {e["ident"] for e in history if e["what"] == "left"}
        self.taken = {e["ident"]: e["at"] for e in reversed(history) if e["what"] == "take"}  # first
        self.exits = {(e["limiter"], e["life"]): e["status"] for e in history if e["what"] == "exit"}
        self.ended_at = {(e["limiter"], e["life"]): e["seen"] for e in history if e["what"] == "exit"}
        self.ready_at = {(e["limiter"], e["life"]): e["seen"] for e in history if e["what"] == "ready"}
        self.losses = [e for e in history if e["what"] == "lost"]
        self.signals: dict[Life, list[Event]] = defaultdict(list)
        for event in history:
            if event["what"] == "signal":
                self.signals[event["limiter"], event["life"]].append(event)
        self.asks: dict[str, list[Event]] = defaultdict(list)
        for event in history:
            if event["what"] == "ask":
                self.asks[event["ident"]].append(event)

    def first_signal(self, life: Life, name: str) -> float | None:
        """When a life got this signal first."""
        return next((e["seen"] for e in self.signals[life] if e["name"] == name), None)

    def was_killed(self, life: Life) -> bool:
        """Whether SIGKILL ended it."""
        return self.exits.get(life) == KILLED

    def lives_of(self, event: Event) -> list[Life]:
        """The lives that may have taken a request: its own, and those beside it on a socket of two."""
        name, number = event["limiter"], event["life"]
        beside = [(name, number - 1, number), (name, number + 1, number + 1)]
        lives = [(name, number)]
        for limiter, other, newer in beside:
            ready_at = self.ready_at.get((limiter, newer))
            ended_at = self.ended_at.get((limiter, newer - 1))
            if ready_at is not None and ended_at is not None and ready_at < ended_at:
                lives.append((limiter, other))
        return lives

    def is_lost_by_kill(self, event: Event) -> bool:
        """Whether a connection ended because its limiter was killed."""
        killed = [self.first_signal(life, "KILL") for life in self.lives_of(event) if self.was_killed(life)]
        return any(at is not None and event["seen"] >= at for at in killed)

    def ended_before_kill(self, ask: Event) -> bool:
        """Whether the connection that a request was sent on had ended before its limiter was killed."""
        sent_on = ask["ident"], ask["limiter"], ask["life"]
        return any(
            (lost["ident"], lost["limiter"], lost["life"]) == sent_on and not self.is_lost_by_kill(lost)
            for lost in self.losses
        )

    def is_excused(self, ask: Event) -> bool:
        """Whether one sending of a request may stay without an answer."""
        killed = [life for life in self.lives_of(ask) if self.was_killed(life)]
        if killed and not self.ended_before_kill(ask):
            told = [self.first_signal(life, "TERM") for life in killed]
            return any(at is None or ask["seen"] <= at + LINGER_MS for at in told)
        # The end of the connection crossed a command that was not read: no backend has seen it.  What was
        # read and not answered is in the limiter's own count, `unanswered_by_itself`.
        return ask["ident"] not in self.taken


def one_answer(soak: Soak) -> list[str]:
    """Every request gets one final answer; a kill excuses what came in time."""
    broken = [f"{ident} has {count} answers" for ident, count in soak.answers.items() if count > 1]
    for ident, asks in soak.asks.items():
        if soak.answers[ident] or ident in soak.left or any(map(soak.is_excused, asks)):
            continue
        places = ", ".join(f"{ask['limiter']} life {ask['life']}" for ask in asks)
        broken.append(f"{ident} has no answer ({places})")
    return broken


def read_and_lost(soak: Soak) -> list[str]:
    """No limiter ends a connection under a request that it has forwarded, but by its kill; also where the
    client's second sending is answered."""
    broken = []
    for event in soak.history:
        if event["what"] != "lost" or soak.is_lost_by_kill(event):
            continue
        taken_at = soak.taken.get(event["ident"])
        if taken_at is not None and taken_at <= event["seen"] + READ_MS:
            broken.append(f"{event['ident']} was forwarded, and its connection ended without an answer")
    return broken


def unanswered_by_itself(soak: Soak) -> list[str]:
    """A process that ends by itself owes nothing, has nothing out, and gave up none but whose client left."""
    left: Counter[str] = Counter()
    for ident in soak.left:
        left.update(ask["limiter"] for ask in soak.asks.get(ident, ()))
    gone: Counter[str] = Counter()
    broken = []
    for event in soak.history:
        if event["what"] != "stopped":
            continue
        life = event["limiter"], event["life"]
        if event["open"] or event["attempts"]:
            broken.append(f"{life}: ended with {event['open']} requests, {event['attempts']} attempts")
        gone[event["limiter"]] += event["gone"]
    return broken + [
        f"{limiter}: gave up {count} requests, clients left {left[limiter]}"
        for limiter, count in gone.items()
        if count > left[limiter]
    ]


def exits(soak: Soak) -> list[str]:
    """A process ends with status 0 after SIGTERM, by SIGKILL, or by a signal before it could take it."""
    broken = []
    for life, status in soak.exits.items():
        is_told = soak.first_signal(life, "TERM") is not None
        has_told = any(e["what"] == "stopped" and (e["limiter"], e["life"]) == life for e in soak.history)
        if status == 0 and not has_told:
            broken.append(f"{life}: ended without its last line")
        is_struck = soak.first_signal(life, "KILL") is not None
        if not ((status == 0 and is_told) or (status == KILLED and is_struck) or status == TERMINATED):
            broken.append(f"{life}: ended with status {status}")
        if status == TERMINATED and any(
            e["what"] == "ready" and (e["limiter"], e["life"]) == life for e in soak.history
        ):
            broken.append(f"{life}: SIGTERM was not taken though it was ready")
    return broken


def starts(soak: Soak) -> list[str]:
    """A limiter is ready soon after its start."""
    return [
        f"{e['limiter']} life {e['life']}: ready after {e['took_ms']:.0f} ms"
        for e in soak.history
        if e["what"] == "ready" and e["took_ms"] > READY_MS
    ]


def logs(soak: Soak) -> list[str]:
    """No fault in a log, and no bytes that are no answer."""
    return [f"{e['what']}: {str(e)[:2000]}" for e in soak.history if e["what"] in ("fault", "garbled")]


def check(history: list[Event]) -> dict[str, list[str]]:
    """Every rule, and how it was broken."""
    soak = Soak(history)
    return {
        "one final answer each": one_answer(soak),
        "no connection ended under a request": read_and_lost(soak),
        "nothing open at its own end": unanswered_by_itself(soak),
        "no value of another request": own_value(history),
        "never two attempts out": no_concurrent_attempts(history),
        "nothing sent after the answer": no_attempt_after_answer(history),
        "ends with 0 or by the kill": exits(soak),
        "ready in time": starts(soak),
        "no fault": logs(soak),
    }
