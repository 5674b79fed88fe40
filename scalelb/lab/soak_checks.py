"""The rules of the soak test, checked over its history by code that shares nothing with the limiter.

Events in addition to those of `checkers`; `life` is the number of an incarnation:

    ask      ident, limiter, life         the last byte of a command was written
    lost     ident, limiter, life         the connection of a request was closed without an answer
    left     ident                        the client of a request closed the connection
    signal   limiter, life, name          a signal was sent
    exit     limiter, life, status        a process ended; status -9: by SIGKILL
    ready    limiter, life, took_ms       a limiter became ready, `took_ms` after its start
    stopped  limiter, life, open, attempts, gone     a process's own counts at its end: open requests,
                                          attempts in flight, requests cancelled by disconnected clients
    garbled  bytes                        a malformed reply, or a reply without a request
    fault    limiter, life, text          a fault in the log

`seen` is the time at which the harness observed an event, in ms.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any

from scalelb.lab.checkers import no_attempt_after_answer, no_concurrent_attempts, own_value

Event = dict[str, Any]
SHUTDOWN_GRACE_MS = 700.0  # Requests that arrive within this time after SIGTERM may be open at the kill.
DISCONNECT_MS = 50.0  # A closed connection is noticed within this time; no client resends so soon.
MAX_START_MS = 10_000.0
KILLED = -9
TERMINATED = -15  # Ended by SIGTERM before the program had installed its handler.

IncarnationId = tuple[str, int]


class SoakHistory:
    """The history of one run, indexed for the rules."""

    def __init__(self, history: list[Event]) -> None:
        self.history = history
        self.answers = Counter(e["ident"] for e in history if e["what"] == "answer")
        self.left = {e["ident"] for e in history if e["what"] == "left"}
        # The time at which a backend got the first attempt of each request.
        self.taken = {e["ident"]: e["at"] for e in reversed(history) if e["what"] == "take"}
        self.exits = {(e["limiter"], e["life"]): e["status"] for e in history if e["what"] == "exit"}
        self.ended_at = {(e["limiter"], e["life"]): e["seen"] for e in history if e["what"] == "exit"}
        self.ready_at = {(e["limiter"], e["life"]): e["seen"] for e in history if e["what"] == "ready"}
        self.losses = [e for e in history if e["what"] == "lost"]
        self.signals: dict[IncarnationId, list[Event]] = defaultdict(list)
        for event in history:
            if event["what"] == "signal":
                self.signals[event["limiter"], event["life"]].append(event)
        self.asks: dict[str, list[Event]] = defaultdict(list)
        for event in history:
            if event["what"] == "ask":
                self.asks[event["ident"]].append(event)

    def first_signal(self, incarnation: IncarnationId, name: str) -> float | None:
        """When an incarnation first got this signal, or None."""
        return next((e["seen"] for e in self.signals[incarnation] if e["name"] == name), None)

    def was_killed(self, incarnation: IncarnationId) -> bool:
        """Whether SIGKILL ended an incarnation."""
        return self.exits.get(incarnation) == KILLED

    def possible_incarnations(self, event: Event) -> list[IncarnationId]:
        """The incarnations that may have accepted the connection of a request.

        These are the one to which the client connected, and a predecessor or successor that used the same
        listening socket at the same time.
        """
        name, number = event["limiter"], event["life"]
        neighbours = [(name, number - 1, number), (name, number + 1, number + 1)]
        incarnations = [(name, number)]
        for limiter, other, newer in neighbours:
            ready_at = self.ready_at.get((limiter, newer))
            ended_at = self.ended_at.get((limiter, newer - 1))
            if ready_at is not None and ended_at is not None and ready_at < ended_at:
                incarnations.append((limiter, other))
        return incarnations

    def is_lost_by_kill(self, event: Event) -> bool:
        """Whether a connection was closed because its limiter was killed."""
        killed_at = [
            self.first_signal(incarnation, "KILL")
            for incarnation in self.possible_incarnations(event)
            if self.was_killed(incarnation)
        ]
        return any(at is not None and event["seen"] >= at for at in killed_at)

    def ended_before_kill(self, ask: Event) -> bool:
        """Whether the connection of a request was closed before its limiter was killed."""
        sent_on = ask["ident"], ask["limiter"], ask["life"]
        return any(
            (lost["ident"], lost["limiter"], lost["life"]) == sent_on and not self.is_lost_by_kill(lost)
            for lost in self.losses
        )

    def is_excused(self, ask: Event) -> bool:
        """Whether a request that was sent once may remain unanswered."""
        killed = [
            incarnation for incarnation in self.possible_incarnations(ask) if self.was_killed(incarnation)
        ]
        if killed and not self.ended_before_kill(ask):
            sigterm_at = [self.first_signal(incarnation, "TERM") for incarnation in killed]
            return any(at is None or ask["seen"] <= at + SHUTDOWN_GRACE_MS for at in sigterm_at)
        # The connection was closed while the command was on its way: no backend got the request.  Requests
        # that were read and not answered are in the limiter's own count, which `unanswered_by_itself` checks.
        return ask["ident"] not in self.taken


def one_answer(soak: SoakHistory) -> list[str]:
    """Every request gets one final answer; a kill excuses those that arrived within the grace period."""
    broken = [f"{ident} has {count} answers" for ident, count in soak.answers.items() if count > 1]
    for ident, asks in soak.asks.items():
        if soak.answers[ident] or ident in soak.left or any(map(soak.is_excused, asks)):
            continue
        places = ", ".join(f"{ask['limiter']} incarnation {ask['life']}" for ask in asks)
        broken.append(f"{ident} has no answer (sent to {places})")
    return broken


def read_and_lost(soak: SoakHistory) -> list[str]:
    """A limiter that is not killed closes no connection whose request it has forwarded.

    This holds even if the request is answered after the client sends it again.
    """
    broken = []
    for event in soak.history:
        if event["what"] != "lost" or soak.is_lost_by_kill(event):
            continue
        taken_at = soak.taken.get(event["ident"])
        if taken_at is not None and taken_at <= event["seen"] + DISCONNECT_MS:
            broken.append(f"{event['ident']} was forwarded, and its connection was closed without an answer")
    return broken


def unanswered_by_itself(soak: SoakHistory) -> list[str]:
    """A process that exits by itself has no open requests and no attempts in flight.

    It has cancelled no more requests than its clients left open when they disconnected.
    """
    left_open: Counter[str] = Counter()
    for ident in soak.left:
        left_open.update(ask["limiter"] for ask in soak.asks.get(ident, ()))
    cancelled: Counter[str] = Counter()
    broken = []
    for event in soak.history:
        if event["what"] != "stopped":
            continue
        incarnation = event["limiter"], event["life"]
        if event["open"] or event["attempts"]:
            broken.append(
                f"{incarnation}: exited with {event['open']} open requests, {event['attempts']} attempts"
            )
        cancelled[event["limiter"]] += event["gone"]
    return broken + [
        f"{limiter}: cancelled {count} requests, but clients left only {left_open[limiter]} open"
        for limiter, count in cancelled.items()
        if count > left_open[limiter]
    ]


def exits(soak: SoakHistory) -> list[str]:
    """A process ends with status 0 after SIGTERM, by SIGKILL, or by a SIGTERM before it could handle one."""
    broken = []
    for incarnation, status in soak.exits.items():
        got_sigterm = soak.first_signal(incarnation, "TERM") is not None
        has_last_line = any(
            e["what"] == "stopped" and (e["limiter"], e["life"]) == incarnation for e in soak.history
        )
        if status == 0 and not has_last_line:
            broken.append(f"{incarnation}: exited without its last log line")
        got_sigkill = soak.first_signal(incarnation, "KILL") is not None
        if not ((status == 0 and got_sigterm) or (status == KILLED and got_sigkill) or status == TERMINATED):
            broken.append(f"{incarnation}: exited with status {status}")
        if status == TERMINATED and any(
            e["what"] == "ready" and (e["limiter"], e["life"]) == incarnation for e in soak.history
        ):
            broken.append(f"{incarnation}: did not handle SIGTERM although it was ready")
    return broken


def starts(soak: SoakHistory) -> list[str]:
    """A limiter is ready within `MAX_START_MS`."""
    return [
        f"{e['limiter']} incarnation {e['life']}: ready only after {e['took_ms']:.0f} ms"
        for e in soak.history
        if e["what"] == "ready" and e["took_ms"] > MAX_START_MS
    ]


def logs(soak: SoakHistory) -> list[str]:
    """The logs contain no faults, and clients receive no malformed or unexpected replies."""
    return [f"{e['what']}: {str(e)[:2000]}" for e in soak.history if e["what"] in ("fault", "garbled")]


def check(history: list[Event]) -> dict[str, list[str]]:
    """Return the violations of every rule."""
    soak = SoakHistory(history)
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
